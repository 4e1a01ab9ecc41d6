#include "route/choose_chain.hpp"

#include "absl/strings/str_cat.h"
#include "common/hash.hpp"

#include <algorithm>
#include <limits>

namespace dandelionstep {
namespace {

// The cheapest way found to reach a layer boundary, ending at one engine.
struct partial_path {
    double cost = std::numeric_limits<double>::infinity();
    const target* last = nullptr;
    std::ptrdiff_t previous = -1;
};

double link_latency_ms(const declarations& declared, const data_centre_id& from, const data_centre_id& to)
{
    constexpr double within_data_centre_ms = 0.1;
    if (from == to) {
        return within_data_centre_ms;
    }
    for (const link& known : declared.links) {
        if ((known.from == from && known.to == to) || (known.from == to && known.to == from)) {
            return known.latency_ms;
        }
    }
    return link{}.latency_ms;
}

// Work of one batch slows every request in it, so the estimate grows with the load.
double stage_cost_ms(const health_map& health, const target& stage, std::uint64_t seed)
{
    constexpr double requests_per_doubling = 8;
    constexpr double tie_break_share = 0.02;
    const auto load = static_cast<double>(estimated_load(health, stage.id));
    const double jitter = static_cast<double>(hash_of(stage.id.value, seed) % 1000) / 1000;
    return stage.engine->step_ms * (1 + load / requests_per_doubling) * (1 + tie_break_share * jitter);
}

std::vector<const target*> eligible_engines(const declarations& declared, const health_map& health,
                                            const chain_query& query, const model_variant& variant,
                                            time_point now)
{
    std::vector<const target*> engines;
    for (const auto& [id, candidate] : declared.targets) {
        if (candidate.engine && candidate.engine->variant == variant && !query.excluded.contains(id) &&
            !declared.draining.contains(id) && is_eligible(health, id, now)) {
            engines.push_back(&candidate);
        }
    }
    std::ranges::stable_sort(engines, {}, [](const target* engine) { return engine->engine->layers.begin; });
    return engines;
}

std::vector<target> walk_back(const std::vector<partial_path>& paths, std::ptrdiff_t index)
{
    std::vector<target> stages;
    for (; index >= 0; index = paths[static_cast<std::size_t>(index)].previous) {
        stages.push_back(*paths[static_cast<std::size_t>(index)].last);
    }
    std::ranges::reverse(stages);
    return stages;
}

} // namespace

absl::StatusOr<chain> choose_chain(const declarations& declared, const health_map& health,
                                   const chain_query& query, time_point now)
{
    const auto wanted = declared.models.find(query.model);
    if (wanted == declared.models.end()) {
        return absl::NotFoundError(absl::StrCat("model \"", query.model.value, "\" is not declared"));
    }
    const model_variant variant{wanted->second.id, wanted->second.version, wanted->second.adapters};
    const std::vector<const target*> engines = eligible_engines(declared, health, query, variant, now);

    // Engines come in order of their first layer, so every predecessor is final before it is extended.
    std::vector<partial_path> paths(engines.size());
    std::ptrdiff_t best = -1;
    double best_cost = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < engines.size(); ++i) {
        const target& stage = *engines[i];
        paths[i].last = &stage;
        const double own_cost = stage_cost_ms(health, stage, query.seed);
        if (stage.engine->layers.begin == layer_index{0}) {
            paths[i].cost = own_cost + link_latency_ms(declared, query.from, stage.data_centre);
        }
        for (std::size_t j = 0; j < i; ++j) {
            if (engines[j]->engine->layers.end != stage.engine->layers.begin) {
                continue;
            }
            const double cost = paths[j].cost + own_cost +
                                link_latency_ms(declared, engines[j]->data_centre, stage.data_centre);
            if (cost < paths[i].cost) {
                paths[i].cost = cost;
                paths[i].previous = static_cast<std::ptrdiff_t>(j);
            }
        }
        if (stage.engine->layers.end == wanted->second.layer_count && paths[i].cost < best_cost) {
            best_cost = paths[i].cost;
            best = static_cast<std::ptrdiff_t>(i);
        }
    }
    if (best < 0) {
        return absl::UnavailableError(
            absl::StrCat("no eligible targets hold all layers of model \"", query.model.value, "\""));
    }
    return chain::make(variant, wanted->second.layer_count, walk_back(paths, best));
}

} // namespace dandelionstep
