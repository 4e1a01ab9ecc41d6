#pragma once

#include "adapters/http_server.hpp"
#include "daemon/context.hpp"

#include <memory>

namespace dandelionstep {

//! Answers `GET /v1/configuration?kind=&name=` with the records in force; false for other paths.
bool handle_configuration_operation(const daemon_context& context, const received_request& request,
                                    const std::shared_ptr<http_reply>& reply);

} // namespace dandelionstep
