#pragma once

#include "adapters/caller_port.hpp"
#include "entry/context/entry_context.hpp"

namespace dandelionstep {

//! Counts, and within bounds logs, the callers' connections that the port ends and the requests that it
//! refuses. The port must not outlive the context.
void report_callers(entry_context& context, caller_port& callers);

} // namespace dandelionstep
