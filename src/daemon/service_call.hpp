#pragma once

#include "adapters/http_client.hpp"
#include "common/ids.hpp"
#include "daemon/answers.hpp"

#include <string>

namespace dandelionstep {

//! A caller's call to a plain service.
struct service_call {
    request_id id;
    organisation_id organisation;
    service_id service;
    std::string method;
    //! The path below the service, with its query.
    std::string path;
    std::string content_type;
    std::string body;
    //! Empty for calls that may be repeated.
    order_key key;
    milliseconds timeout{5000};
    time_point began;
};

//! The call as it is counted and logged once it has its final answer.
finished_request finished_call(std::string_view kind, const service_call& call, outcome result,
                               std::optional<error_code> refused);

//! The request that carries the call to a target.
http_request to_http_request(const service_call& call);

} // namespace dandelionstep
