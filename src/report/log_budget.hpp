#pragma once

#include "common/clock.hpp"

#include <cstdint>

namespace dandelionstep {

//! How much a log line tells.
enum class log_weight {
    failure, //!< A request that was not served, or a dependency that was lost.
    success, //!< A request that was served.
};

//! Bounds the lines about requests; failures have their own share, so that successes never displace them.
struct log_budget {
    double failures = 40;
    double successes = 4;
    time_point filled_at{0};
    std::int64_t dropped_failures = 0;
    std::int64_t dropped_successes = 0;
};

//! Whether a line of this weight may be written now; counts it as dropped if not.
bool may_log(log_budget& budget, log_weight weight, time_point now);

} // namespace dandelionstep
