#include "route/retry_after.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

constexpr milliseconds least_return{100};
constexpr milliseconds most_return{2'000};
// Refusals that are further apart have nothing to do with each other.
constexpr milliseconds longest_pause{10'000};
// What has lasted for some time lasts on for about as long; a part of that loses little when it ends at once.
constexpr std::int64_t tries_per_doubling = 4;
// Callers who were refused together come back over half of the time that they were told.
constexpr double spread = 0.5;
// When nothing is known a first try is worth this much waiting.
constexpr milliseconds first_guess{300};

} // namespace

void record_refusal(refusal_streak& span, time_point now)
{
    if (!span.began || now - span.last > longest_pause) {
        span.began = now;
    }
    span.last = now;
}

void clear_refusals(refusal_streak& span)
{
    span.began.reset();
}

milliseconds refused_for(const refusal_streak& span, time_point now)
{
    return span.began ? now - *span.began : milliseconds{0};
}

milliseconds retry_after_delay(milliseconds refused_for, std::optional<milliseconds> expected, double draw)
{
    const milliseconds known = std::max(expected.value_or(first_guess), least_return);
    const milliseconds lasting{refused_for.count / tries_per_doubling};
    const auto base =
        static_cast<double>(std::clamp(std::max(known, lasting), least_return, most_return).count);
    return milliseconds{static_cast<std::int64_t>(base * (1 + spread * draw))};
}

milliseconds retry_after_backoff(milliseconds rest, double draw)
{
    const auto base = static_cast<double>(std::max(rest, least_return).count);
    const auto spread_over = static_cast<double>(std::min(rest, most_return).count);
    return milliseconds{static_cast<std::int64_t>(base + spread_over * spread * draw)};
}

milliseconds time_to_next_completion(milliseconds duration, double running)
{
    return milliseconds{
        static_cast<std::int64_t>(static_cast<double>(duration.count) / std::max(1.0, running))};
}

} // namespace dandelionstep
