#include "route/path_outlook.hpp"

#include "route/local_path.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

// Share of the engine's KV cache in use once the request is complete.
double kv_cache_use(const engine_profile& profile, const accelerator_kind& kind, const path_part& part,
                    const path_candidate& candidate, const request_size& size)
{
    const auto held = static_cast<double>(candidate.target->layers.size());
    const double room = kv_cache_tokens(profile, kind, candidate.target->layers.size()) * held;
    const double needed = size.total_tokens * static_cast<double>(part.layers.size());
    return room > 0 ? candidate.kv_cache_used + needed / room : 1;
}

} // namespace

path_outlook outlook_of(const engine_profile& profile, const std::vector<path_part>& path,
                        const std::vector<path_candidate>& candidates, const request_size& size)
{
    path_outlook outlook;
    for (const path_part& part : path) {
        const auto found = std::ranges::find(candidates, part.target, &path_candidate::target);
        const accelerator_kind* kind = find_kind(profile, part.target->kind);
        if (found == candidates.end() || kind == nullptr) {
            continue;
        }
        outlook.use = std::max(outlook.use, kv_cache_use(profile, *kind, part, *found, size));
        if (&part == &path.front()) {
            outlook.entry_use = found->entry_slots_used;
            outlook.use = std::max(outlook.use, outlook.entry_use);
        }
        outlook.first_event_ms += step_time_factor(*found) *
                                  prefill_time_ms(profile, *kind, part.layers.size(), size.prompt_tokens);
    }
    outlook.event_gap_ms = event_gap_ms(profile, path, candidates);
    outlook.first_event_ms += outlook.event_gap_ms;
    return outlook;
}

} // namespace dandelionstep
