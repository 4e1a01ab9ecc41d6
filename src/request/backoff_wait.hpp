#pragma once

#include "common/clock.hpp"

namespace dandelionstep {

//! Whether a request for which every target rests is better kept until the first rest ends, at `ready`, than
//! refused: its caller still gets the answer in time, and not much later than from a caller's own return.
bool is_worth_waiting(time_point ready, time_point deadline, milliseconds objective, time_point now);

} // namespace dandelionstep
