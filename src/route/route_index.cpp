#include "route/route_index.hpp"

#include <algorithm>
#include <tuple>

namespace dandelionstep {
namespace {

constexpr double within_data_centre_ms = 0.1;
constexpr double bytes_per_megabyte_per_ms = 1000;

double token_ms(const declarations& declared, const model& carried, const data_centre_id& from,
                const data_centre_id& to)
{
    if (from == to) {
        return within_data_centre_ms;
    }
    link path;
    for (const link& known : declared.links) {
        if ((known.from == from && known.to == to) || (known.from == to && known.to == from)) {
            path = known;
            break;
        }
    }
    const auto bytes = static_cast<double>(carried.activation_bytes.value);
    return 2 * path.latency_ms + bytes / (path.megabytes_per_second * bytes_per_megabyte_per_ms);
}

std::vector<const target*> engines_of(const declarations& declared, const model_variant& variant)
{
    std::vector<const target*> engines;
    for (const auto& [id, each] : declared.targets) {
        if (each.engine && each.engine->variant == variant && !declared.draining.contains(id)) {
            engines.push_back(&each);
        }
    }
    std::ranges::stable_sort(
        engines, {}, [](const target* each) { return std::tie(each->engine->layers, each->data_centre); });
    return engines;
}

std::size_t index_of(std::vector<data_centre_id>& known, const data_centre_id& wanted)
{
    const auto found = std::ranges::find(known, wanted);
    if (found != known.end()) {
        return static_cast<std::size_t>(found - known.begin());
    }
    known.push_back(wanted);
    return known.size() - 1;
}

void add_engine(model_routes& routes, const target& engine)
{
    const std::size_t where = index_of(routes.data_centres, engine.data_centre);
    if (routes.groups.empty() || routes.groups.back().layers != engine.engine->layers ||
        routes.groups.back().data_centre != where) {
        routes.groups.push_back({engine.engine->layers, where, {}, {}});
    }
    engine_group& group = routes.groups.back();
    const double before =
        group.cumulative_tokens_per_second.empty() ? 0 : group.cumulative_tokens_per_second.back();
    group.engines.push_back(engine);
    group.cumulative_tokens_per_second.push_back(before + engine.engine->tokens_per_second);
}

// The groups are sorted by their first layer, so the least time up to a boundary is final when it is read.
double idle_token_ms(const model_routes& routes)
{
    std::map<layer_index, double> least{{layer_index{0}, 0.0}};
    for (const engine_group& group : routes.groups) {
        const auto before = least.find(group.layers.begin);
        if (before == least.end()) {
            continue;
        }
        for (const target& engine : group.engines) {
            const double after = before->second + engine.engine->step_ms;
            const auto [found, is_new] = least.try_emplace(group.layers.end, after);
            found->second = std::min(found->second, after);
        }
    }
    const auto whole = least.find(routes.layer_count);
    return whole == least.end() ? 0 : whole->second;
}

model_routes build_routes(const declarations& declared, const model& wanted)
{
    model_routes routes;
    routes.variant = {wanted.id, wanted.version, wanted.adapters};
    routes.layer_count = wanted.layer_count;
    for (const target* engine : engines_of(declared, routes.variant)) {
        add_engine(routes, *engine);
    }
    for (std::size_t i = 0; i < routes.groups.size(); ++i) {
        const auto [range, is_new] =
            routes.groups_from.try_emplace(routes.groups[i].layers.begin, std::pair(i, i));
        range->second.second = i + 1;
    }
    for (const link& known : declared.links) {
        index_of(routes.data_centres, known.from);
        index_of(routes.data_centres, known.to);
    }
    routes.idle_token_ms = idle_token_ms(routes);
    for (const data_centre_id& from : routes.data_centres) {
        std::vector<double>& row = routes.token_link_ms.emplace_back();
        for (const data_centre_id& to : routes.data_centres) {
            row.push_back(token_ms(declared, wanted, from, to));
        }
    }
    return routes;
}

} // namespace

route_index build_route_index(const declarations& declared)
{
    route_index index;
    for (const auto& [id, each] : declared.models) {
        index.models.emplace(id, build_routes(declared, each));
    }
    return index;
}

const route_index& route_cache::at(revision number, const declarations& declared)
{
    if (number != this->built_for) {
        this->index = build_route_index(declared);
        this->built_for = number;
    }
    return this->index;
}

} // namespace dandelionstep
