#pragma once

#include "adapters/http_server.hpp"
#include "daemon/context.hpp"
#include "daemon/group.hpp"

namespace dandelionstep {

//! Answers GET /v1/targets/{name}/in-flight: this daemon's word on a target, and the daemons it knows.
//! False when the path is another one.
bool answer_in_flight(const daemon_context& context, const group& peers, const received_request& request,
                      http_reply& reply);

} // namespace dandelionstep
