#pragma once

#include "common/clock.hpp"

#include <cstdint>

namespace dandelionstep {

//! The state that decides when a daemon next reads the configuration from the platform's table.
struct poll_schedule {
    //! Whether this daemon polls often for its data centre; the other daemons get changes from the pollers.
    bool poller = true;
    int consecutive_failures = 0;
};

//! Pollers in each data centre; more than one, since a poller may crash or lose its connection.
inline constexpr int pollers_per_data_centre = 2;

//! How long to wait before the next read; `random` spreads the reads of daemons over time.
milliseconds next_poll(const poll_schedule& schedule, std::uint64_t random);

} // namespace dandelionstep
