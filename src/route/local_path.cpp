#include "route/local_path.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

const path_candidate* candidate_of(const path_part& part, const std::vector<path_candidate>& candidates)
{
    const auto found = std::ranges::find(candidates, part.target, &path_candidate::target);
    return found == candidates.end() ? nullptr : &*found;
}

double part_time_ms(const engine_profile& profile, const path_part& part,
                    const std::vector<path_candidate>& candidates)
{
    const path_candidate* candidate = candidate_of(part, candidates);
    const accelerator_kind* kind = find_kind(profile, part.target->kind);
    if (candidate == nullptr || kind == nullptr) {
        return 0;
    }
    return step_time_factor(*candidate) *
           step_time_ms(profile, *kind, part.layers.size(), candidate->running + 1);
}

bool has_room(const path_query& query, const std::vector<path_part>& path,
              const std::vector<path_candidate>& candidates, double max_utilisation)
{
    for (const path_part& part : path) {
        const path_candidate* candidate = candidate_of(part, candidates);
        const bool is_entry = query.previous == nullptr && &part == &path.front();
        if (candidate == nullptr || candidate->kv_cache_used > max_utilisation ||
            (is_entry && candidate->entry_slots_used > max_utilisation)) {
            return false;
        }
    }
    return true;
}

} // namespace

double event_gap_ms(const engine_profile& profile, const std::vector<path_part>& path,
                    const std::vector<path_candidate>& candidates)
{
    double step = 0;
    for (const path_part& part : path) {
        step += part_time_ms(profile, part, candidates);
    }
    return step * std::max(1.0, profile.steps_per_event);
}

std::vector<path_part> choose_layer_path(const path_query& query,
                                         const std::vector<path_candidate>& candidates,
                                         const local_path_limits& limits)
{
    const data_centre_id& home = query.previous != nullptr ? query.previous->data_centre : query.entry;
    std::vector<path_candidate> local;
    std::ranges::copy_if(candidates, std::back_inserter(local), [&home](const path_candidate& candidate) {
        return candidate.target->data_centre == home;
    });
    std::vector<path_part> path = find_layer_path(query, local);
    if (!path.empty() && event_gap_ms(*query.profile, path, local) <= limits.event_gap_ms &&
        has_room(query, path, local, limits.max_utilisation)) {
        return path;
    }
    return find_layer_path(query, candidates);
}

} // namespace dandelionstep
