#include "target/engine_arrivals.hpp"

#include <algorithm>
#include <utility>

namespace dandelionstep {
namespace {

constexpr milliseconds settle_time{900};

// An engine that registers with layers was running before, so the registry is incomplete and others are about
// to register as well. An engine without layers is new; while callers are served, its layers are planned at
// once instead of waiting for further engines.
bool is_followed_by_others(const registered_target& engine, bool is_serving)
{
    return !is_serving || !engine.layers.empty();
}

} // namespace

void note_engines(engine_arrivals& arrivals, const target_registry& registry, bool is_serving, time_point now)
{
    std::map<target_id, incarnation> present;
    for (const auto& [id, target] : registry) {
        if (target.kind.empty()) {
            continue;
        }
        present.emplace_hint(present.end(), id, target.started);
        const auto known = arrivals.known.find(id);
        const bool is_new = known == arrivals.known.end() || known->second != target.started;
        if (is_new && is_followed_by_others(target, is_serving)) {
            arrivals.settling_since = now;
        }
    }
    arrivals.known = std::move(present);
}

bool has_settled(const engine_arrivals& arrivals, time_point now)
{
    return now - arrivals.settling_since >= settle_time;
}

bool needs_full_replan(const std::vector<registered_target>& engines)
{
    const auto empty =
        std::ranges::count_if(engines, [](const registered_target& engine) { return engine.layers.empty(); });
    return 2 * empty >= std::ssize(engines);
}

} // namespace dandelionstep
