#pragma once

#include "entry/requests/accepted_request.hpp"
#include "entry/requests/request_tools.hpp"

namespace dandelionstep {

//! Carries a request to a plain service and its answer back. Idempotent ones are sent to another target after
//! a failure or a long silence; others only after a proof that they did not run.
void run_call(entry_context& context, request_tools& tools, accepted_request request);

} // namespace dandelionstep
