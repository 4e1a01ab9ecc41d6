#include "configuration/poll_schedule.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

constexpr milliseconds poller_interval{1000};
// For daemons that learn of changes from the pollers; their own reads find changes that did not reach them.
constexpr milliseconds fallback_interval{60'000};
constexpr milliseconds max_poller_interval{8000};
constexpr int max_doublings = 3;

} // namespace

milliseconds next_poll(const poll_schedule& schedule, std::uint64_t random)
{
    milliseconds base = fallback_interval;
    if (schedule.poller) {
        // A failing table is polled less often, so that it gets few reads when it recovers.
        const int doublings = std::min(schedule.consecutive_failures, max_doublings);
        base = std::min(poller_interval * (std::int64_t{1} << doublings), max_poller_interval);
    }
    // The wait is between 0.5 and 1.5 times the base, so that daemons don't read at the same time.
    return base / 2 +
           milliseconds{static_cast<std::int64_t>(random % static_cast<std::uint64_t>(base.count))};
}

} // namespace dandelionstep
