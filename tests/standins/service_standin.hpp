#pragma once

#include "absl/status/status.h"
#include "target/endpoint.hpp"

#include <string>

namespace dandelionstep::standins {

//! How a plain service's stand-in behaves.
struct service_options {
    endpoint listen;
    std::string name = "service";
};

//! Runs a plain service that takes orders by POST and lookups by GET, and counts each order's executions.
//! Faults: delay_ms, answer_delay_ms (after the effect),
//! answer_padding (bytes), drop_answers (take effect, then break), drop_requests, refuse (503, not run), fail
//! (500), die_before_effect, die_after_effect, leaving.
absl::Status run_service(const service_options& options);

} // namespace dandelionstep::standins
