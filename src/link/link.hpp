#pragma once

#include "common/clock.hpp"
#include "common/ids.hpp"

namespace dandelionstep {

//! The network path between two data centres, the same in both directions.
struct link {
    data_centre_id from;
    data_centre_id to;
    double latency_ms = 0.5;
    //! Megabytes a second that activations may use.
    double megabytes_per_second = 1000;
};

} // namespace dandelionstep
