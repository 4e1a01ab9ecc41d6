#include "route/naive_chain.hpp"

#include "common/hash.hpp"
#include "route/pick_engine.hpp"

#include <algorithm>
#include <set>

namespace dandelionstep {
namespace {

// Layer boundaries from which a sequence of eligible engines reaches the last layer.
std::set<layer_index> boundaries_that_reach_end(const model_routes& routes, const health_map& health,
                                                const chain_query& query, time_point now)
{
    std::set<layer_index> open{routes.layer_count};
    for (auto group = routes.groups.rbegin(); group != routes.groups.rend(); ++group) {
        const bool usable = std::ranges::any_of(
            group->engines, [&](const target& engine) { return may_use(engine, health, query, now); });
        if (usable && open.contains(group->layers.end)) {
            open.insert(group->layers.begin);
        }
    }
    return open;
}

std::int64_t reported_load(const health_map& health, const target& engine)
{
    const auto found = health.find(engine.id);
    return found == health.end() ? 0 : found->second.reported_load;
}

const target* choose_one(const std::vector<const target*>& engines, const health_map& health,
                         const chain_query& query, layer_index boundary)
{
    if (query.policy == chain_policy::least_reported) {
        return *std::ranges::min_element(
            engines, {}, [&](const target* engine) { return reported_load(health, *engine); });
    }
    const std::uint64_t number = query.policy == chain_policy::round_robin
                                     ? query.turn
                                     : hash_of(std::to_string(boundary.value), query.seed);
    return engines[number % engines.size()];
}

} // namespace

std::vector<target> choose_naive_stages(const model_routes& routes, const health_map& health,
                                        const chain_query& query, time_point now)
{
    const std::set<layer_index> open = boundaries_that_reach_end(routes, health, query, now);
    std::vector<target> stages;
    layer_index next{0};
    while (next != routes.layer_count) {
        std::vector<const target*> engines;
        for (const engine_group& group : routes.groups) {
            if (group.layers.begin != next || !open.contains(group.layers.end)) {
                continue;
            }
            for (const target& engine : group.engines) {
                if (may_use(engine, health, query, now)) {
                    engines.push_back(&engine);
                }
            }
        }
        if (engines.empty()) {
            return {};
        }
        const target* chosen = choose_one(engines, health, query, next);
        stages.push_back(*chosen);
        next = chosen->engine->layers.end;
    }
    return stages;
}

} // namespace dandelionstep
