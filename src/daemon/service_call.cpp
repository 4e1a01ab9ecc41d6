#include "daemon/service_call.hpp"

namespace dandelionstep {

finished_request finished_call(std::string_view kind, const service_call& call, outcome result,
                               std::optional<error_code> refused)
{
    const milliseconds taken = event_loop::now() - call.began;
    return {kind, call.id, call.organisation, call.service.value, result, refused, {taken, taken, 0}};
}

http_request to_http_request(const service_call& call)
{
    http_request request{.method = call.method, .path = call.path};
    request.headers = {{"X-Request-Id", call.id.value}, {"X-Organisation", call.organisation.value}};
    if (!call.content_type.empty()) {
        request.headers.emplace_back("Content-Type", call.content_type);
    }
    if (!call.key.value.empty()) {
        request.headers.emplace_back("Idempotency-Key", call.key.value);
        request.new_connection = true;
    }
    request.body = call.body;
    request.timeout = call.timeout;
    return request;
}

} // namespace dandelionstep
