#pragma once

#include "common/clock.hpp"

namespace dandelionstep {

//! Whether to keep a request while all of its targets are in backoff, the first of them until `ready`, rather
//! than refuse it: the answer must still meet the deadline, and must not come much later than if the caller
//! retried by itself. `objective` is the latency objective of the route.
bool is_worth_waiting(time_point ready, time_point deadline, milliseconds objective, time_point now);

} // namespace dandelionstep
