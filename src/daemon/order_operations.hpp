#pragma once

#include "adapters/http_server.hpp"
#include "daemon/context.hpp"

#include <memory>

namespace dandelionstep {

//! Answers the operators' calls about orders: `GET /v1/orders`, `POST /v1/orders/settle`; false for other
//! paths.
bool handle_order_operation(daemon_context& context, const received_request& request,
                            const std::shared_ptr<http_reply>& reply);

} // namespace dandelionstep
