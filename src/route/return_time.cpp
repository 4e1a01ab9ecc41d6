#include "route/return_time.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

constexpr milliseconds min_delay{100};
constexpr milliseconds max_delay{2'000};
// A longer time without refusals ends the streak.
constexpr milliseconds max_refusal_gap{10'000};
// A streak of refusals is expected to last for as long again as it has lasted. Callers retry after this part
// of that time, so that they lose little if it ends at once.
constexpr std::int64_t retries_per_doubling = 4;
// The delays of callers that were refused at the same time are spread by up to this share.
constexpr double spread = 0.5;
// Delay for a first refusal when nothing is known about the return of capacity.
constexpr milliseconds default_delay{300};

} // namespace

void record_refusal(refusal_streak& streak, time_point now)
{
    if (!streak.began || now - streak.last > max_refusal_gap) {
        streak.began = now;
    }
    streak.last = now;
}

void clear_refusals(refusal_streak& streak)
{
    streak.began.reset();
}

milliseconds refused_for(const refusal_streak& streak, time_point now)
{
    return streak.began ? now - *streak.began : milliseconds{0};
}

milliseconds retry_after_delay(milliseconds refused_for, std::optional<milliseconds> expected, double draw)
{
    const milliseconds expected_or_default = std::max(expected.value_or(default_delay), min_delay);
    const milliseconds duration_share{refused_for.count / retries_per_doubling};
    const auto base = static_cast<double>(
        std::clamp(std::max(expected_or_default, duration_share), min_delay, max_delay).count);
    return milliseconds{static_cast<std::int64_t>(base * (1 + spread * draw))};
}

milliseconds retry_after_backoff(milliseconds backoff, double draw)
{
    const auto base = static_cast<double>(std::max(backoff, min_delay).count);
    const auto spread_base = static_cast<double>(std::min(backoff, max_delay).count);
    return milliseconds{static_cast<std::int64_t>(base + spread_base * spread * draw)};
}

milliseconds time_to_next_completion(milliseconds duration, double running)
{
    return milliseconds{
        static_cast<std::int64_t>(static_cast<double>(duration.count) / std::max(1.0, running))};
}

} // namespace dandelionstep
