#pragma once

#include "common/clock.hpp"

#include <optional>

namespace dandelionstep {

//! Refusals of one service's requests since it last answered one.
struct refusal_streak {
    std::optional<time_point> began;
    time_point last{0};
};

//! Notes that a request was refused.
void record_refusal(refusal_streak& span, time_point now);

//! Notes that a request was answered: what lasted has ended.
void clear_refusals(refusal_streak& span);

//! For how long requests have been refused and none answered; zero when none was refused.
milliseconds refused_for(const refusal_streak& span, time_point now);

//! After what time a refused caller finds capacity. `expected`: when something is known to end, such as a
//! pause or a running request; nullopt when nothing tells. `draw`, uniform in [0, 1), spreads the callers'
//! return.
milliseconds retry_after_delay(milliseconds refused_for, std::optional<milliseconds> expected, double draw);

//! The same when the targets themselves have said when they take requests again.
milliseconds retry_after_backoff(milliseconds rest, double draw);

//! The time in which one of so many requests ends that take `duration` each and began independently.
milliseconds time_to_next_completion(milliseconds duration, double running);

} // namespace dandelionstep
