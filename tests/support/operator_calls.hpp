#pragma once

#include "support/cluster.hpp"

namespace dandelionstep::testing {

//! Calls a daemon's operators' port.
inline http_result call_operators(const cluster& running, std::size_t daemon, const std::string& method,
                                  const std::string& path, const json& body = {})
{
    http_request request{.method = method, .path = path};
    request.headers = {{"Authorization", std::string("Bearer ") + operator_token},
                       {"Content-Type", "application/json"}};
    if (!body.is_null()) {
        request.body = dump(body);
    }
    request.timeout = {20'000};
    return call(running.operators_of(daemon), std::move(request));
}

//! What the daemon says of itself; null when it does not answer.
inline json status_of(const cluster& running, std::size_t daemon)
{
    const auto body = parse_json(call_operators(running, daemon, "GET", "/v1/status").body);
    return body.ok() ? *body : json();
}

inline std::int64_t revision_of(const cluster& running, std::size_t daemon)
{
    return integer_or(status_of(running, daemon), "revision", -1);
}

inline bool is_ready(const cluster& running, std::size_t daemon)
{
    return call(running.callers_of(daemon), {.method = "GET", .path = "/readyz"}).status == 200;
}

//! Applies one change; `extra` is merged into the request.
inline http_result apply_change_at(const cluster& running, std::size_t daemon, const json& record,
                                   const json& extra = json::object())
{
    json body{{"records", json::array({record})}};
    body.update(extra);
    return call_operators(running, daemon, "POST", "/v1/configuration/apply", body);
}

//! The code of an error answer.
inline std::string error_of(const http_result& result, const char* member = "code")
{
    const auto body = parse_json(result.body);
    return body.ok() ? string_or(body->value("error", json::object()), member, "") : "";
}

inline json drain_of(const std::string& target)
{
    return {{"kind", "drain"}, {"name", target}, {"schema_version", 1}};
}

} // namespace dandelionstep::testing
