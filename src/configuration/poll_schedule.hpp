#pragma once

#include "common/clock.hpp"

#include <cstdint>

namespace dandelionstep {

//! What decides when a daemon reads the platform's table again.
struct poll_schedule {
    //! Chosen among the daemons of its data centre to poll often; the others hear from it.
    bool poller = true;
    int failures_in_a_row = 0;
};

//! Pollers in each data centre: one may die or be cut off.
inline constexpr int pollers_per_data_centre = 2;

//! How long to wait for the next read; `random` is any number, and spreads daemons over the interval.
milliseconds next_poll(const poll_schedule& schedule, std::uint64_t random);

} // namespace dandelionstep
