#include "target/kept_rests.hpp"

namespace dandelionstep {

void save_backoff(saved_backoffs& backoffs, const registered_target& target,
                  const target_condition& condition, time_point now)
{
    std::erase_if(backoffs, [now](const auto& entry) { return entry.second.until <= now; });
    // Without a start time the next registration may belong to another process, which did not ask to back
    // off.
    if (is_backing_off(condition, now) && target.started != incarnation{}) {
        backoffs[target.id] = {target.started, condition.backoff_until, condition.backoff_tried_at,
                               condition.backoff_trials};
    }
}

std::optional<saved_backoff> take_saved_backoff(saved_backoffs& backoffs, const registered_target& target)
{
    const auto found = backoffs.find(target.id);
    if (found == backoffs.end()) {
        return std::nullopt;
    }
    const saved_backoff backoff = found->second;
    backoffs.erase(found);
    return backoff.started == target.started ? std::optional(backoff) : std::nullopt;
}

void resume_saved_backoff(target_condition& condition, const saved_backoff& saved)
{
    resume_backoff(condition, saved.until);
    condition.backoff_tried_at = saved.tried_at;
    condition.backoff_trials = saved.trials;
}

} // namespace dandelionstep
