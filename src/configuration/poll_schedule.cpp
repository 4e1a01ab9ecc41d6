#include "configuration/poll_schedule.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

constexpr milliseconds poller_interval{1000};
constexpr milliseconds backstop_interval{60'000};
constexpr milliseconds max_poller_interval{8000};
constexpr int max_doublings = 3;

} // namespace

milliseconds next_poll(const poll_schedule& schedule, std::uint64_t random)
{
    milliseconds base = backstop_interval;
    if (schedule.poller) {
        // A table that fails is asked less often, so that its return meets few reads.
        const int doublings = std::min(schedule.failures_in_a_row, max_doublings);
        base = std::min(poller_interval * (std::int64_t{1} << doublings), max_poller_interval);
    }
    // Between half and one and a half of the base, so that daemons don't read together.
    return base / 2 +
           milliseconds{static_cast<std::int64_t>(random % static_cast<std::uint64_t>(base.count))};
}

} // namespace dandelionstep
