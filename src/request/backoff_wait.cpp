#include "request/backoff_wait.hpp"

namespace dandelionstep {
namespace {

// The longest wait as a multiple of the latency objective: callers abandon a stream whose first event is
// later.
constexpr std::int64_t max_objectives = 3;

} // namespace

bool is_worth_waiting(time_point ready, time_point deadline, milliseconds objective, time_point now)
{
    return ready - now <= objective * max_objectives && ready + objective <= deadline;
}

} // namespace dandelionstep
