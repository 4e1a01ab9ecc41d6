#include "request/backoff_wait.hpp"

namespace dandelionstep {
namespace {

// Callers leave a stream whose first event is late by more than this.
constexpr std::int64_t most_objectives = 3;

} // namespace

bool is_worth_waiting(time_point ready, time_point deadline, milliseconds objective, time_point now)
{
    return ready - now <= objective * most_objectives && ready + objective <= deadline;
}

} // namespace dandelionstep
