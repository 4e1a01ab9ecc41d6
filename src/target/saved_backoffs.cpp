#include "target/saved_backoffs.hpp"

namespace dandelionstep {

void save_backoff(saved_backoffs& rests, const registered_target& target, const target_condition& condition,
                  time_point now)
{
    std::erase_if(rests, [now](const auto& kept) { return kept.second.until <= now; });
    // Where registrations don't tell processes apart, the next one may be that of another process.
    if (is_backing_off(condition, now) && target.started != incarnation{}) {
        rests[target.id] = {target.started, condition.backoff_until};
    }
}

std::optional<time_point> take_saved_backoff(saved_backoffs& rests, const registered_target& target)
{
    const auto found = rests.find(target.id);
    if (found == rests.end()) {
        return std::nullopt;
    }
    const saved_backoff kept = found->second;
    rests.erase(found);
    return kept.started == target.started ? std::optional(kept.until) : std::nullopt;
}

} // namespace dandelionstep
