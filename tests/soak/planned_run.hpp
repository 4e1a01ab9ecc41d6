#pragma once

#include "soak/soak_run.hpp"

namespace dandelionstep::soak {

//! Runs store, replicas and daemons as processes on a day of planned work without crashes, drawn from the
//! seed, and checks what callers and replicas saw.
soak_result run_planned(const soak_options& options);

} // namespace dandelionstep::soak
