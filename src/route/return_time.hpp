#pragma once

#include "common/clock.hpp"

#include <optional>

namespace dandelionstep {

//! Refusals of one service's requests since its last answer.
struct refusal_streak {
    std::optional<time_point> began;
    time_point last{0};
};

//! Records that a request was refused.
void record_refusal(refusal_streak& streak, time_point now);

//! Records that a request was answered, which ends the streak.
void clear_refusals(refusal_streak& streak);

//! Time for which requests have been refused without an answer in between; zero if none was refused.
milliseconds refused_for(const refusal_streak& streak, time_point now);

//! Estimated delay after which a refused caller finds capacity. `expected` is the time until capacity is
//! known to become free, as at the end of a backoff or of a running request; nullopt if unknown. `draw`,
//! uniform in [0, 1), spreads the retries of many callers.
milliseconds retry_after_delay(milliseconds refused_for, std::optional<milliseconds> expected, double draw);

//! Delay for a refused caller if the targets have stated the time after which they accept requests again.
//! `draw`, uniform in [0, 1), spreads the retries of many callers.
milliseconds retry_after_backoff(milliseconds backoff, double draw);

//! Expected time until the first of `running` requests completes, if each takes `duration` and they started
//! independently.
milliseconds time_to_next_completion(milliseconds duration, double running);

} // namespace dandelionstep
