#include "request/repair_chain.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>

namespace dandelionstep {
namespace {

struct repair_query {
    const model_routes& routes;
    const health_map& health;
    const std::set<target_id>& excluded;
    std::uint64_t seed = 0;
    time_point now;
};

bool is_usable(const repair_query& query, const target_id& engine)
{
    return !query.excluded.contains(engine) && is_eligible(query.health, engine, query.now);
}

std::vector<const target*> usable_engines(const repair_query& query, const hop& stage, bool same_data_centre)
{
    std::vector<const target*> engines;
    for (const engine_group& group : query.routes.groups) {
        if (group.layers != stage.layers ||
            (query.routes.data_centres[group.data_centre] == stage.data_centre) != same_data_centre) {
            continue;
        }
        for (const target& engine : group.engines) {
            if (is_usable(query, engine.id)) {
                engines.push_back(&engine);
            }
        }
    }
    return engines;
}

// Picks the less loaded of two random engines (power of two choices): all streams through a dead target need
// a replacement at the same moment, at every daemon, and would otherwise all move to the least loaded engine.
const target* less_loaded_of_two(const repair_query& query, const std::vector<const target*>& engines)
{
    if (engines.empty()) {
        return nullptr;
    }
    const std::size_t count = engines.size();
    const std::size_t first = query.seed % count;
    const std::size_t other = count == 1 ? first : (first + 1 + query.seed / count % (count - 1)) % count;
    const bool keep_first =
        estimated_load(query.health, engines[first]->id) <= estimated_load(query.health, engines[other]->id);
    return engines[keep_first ? first : other];
}

const target* engine_for(const repair_query& query, const hop& stage)
{
    const std::vector<const target*> near = usable_engines(query, stage, true);
    const auto kept = std::ranges::find(near, stage.target, [](const target* engine) { return engine->id; });
    if (kept != near.end()) {
        return *kept;
    }
    if (const target* chosen = less_loaded_of_two(query, near)) {
        return chosen;
    }
    return less_loaded_of_two(query, usable_engines(query, stage, false));
}

} // namespace

absl::StatusOr<chain> repair_chain(const route_index& index, const health_map& health, const chain& broken,
                                   const std::set<target_id>& excluded, std::uint64_t seed, time_point now)
{
    const auto found = index.models.find(broken.variant().model);
    if (found == index.models.end() || found->second.variant != broken.variant()) {
        return absl::UnavailableError("the model's version has changed");
    }
    const repair_query query{found->second, health, excluded, seed, now};
    std::vector<target> stages;
    for (const hop& stage : broken.hops()) {
        const target* engine = engine_for(query, stage);
        if (engine == nullptr) {
            return absl::UnavailableError(
                absl::StrCat("no other target holds the layers of \"", stage.target.value, "\""));
        }
        stages.push_back(*engine);
    }
    return chain::make(broken.variant(), found->second.layer_count, stages);
}

} // namespace dandelionstep
