#pragma once

#include "absl/status/status.h"
#include "target/endpoint.hpp"

namespace dandelionstep::standins {

//! How the platform's stand-in behaves.
struct platform_options {
    endpoint listen;
    //! Bytes a second that the weight store hands out.
    std::int64_t weight_bytes_per_second = 1'000'000;
    //! How old the list of VMs is when it is read, in milliseconds.
    std::int64_t vm_list_lag_ms = 3000;
};

//! Runs the platform: transactional table, object store, weight store, list of VMs.
//! Faults: down ("drop", "503"), delay_ms, lose_answers, lose_requests, stale_reads; hold_before or
//! hold_after (a text): the next `holds` transactions that contain it wait `hold_ms` before their effect or
//! answer.
absl::Status run_platform(const platform_options& options);

} // namespace dandelionstep::standins
