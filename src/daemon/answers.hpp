#pragma once

#include "adapters/caller_server.hpp"
#include "adapters/http_server.hpp"
#include "common/outcome.hpp"
#include "daemon/context.hpp"
#include "report/service_level.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace dandelionstep {

//! The header that tells a caller what became of its request.
inline constexpr const char* outcome_header = "Outcome";

//! The error body of a refusal.
std::string refusal_body(const refusal& why);

//! Answers a caller with a refusal, its outcome and when to come back.
void send_refusal(caller_reply& reply, const refusal& why);
//! The same for an operator.
void send_refusal(http_reply& reply, const refusal& why);
//! The same for all callers whose requests have not arrived whole; returns their number.
int refuse_arriving(caller_server& callers, const refusal& why);

//! The SHA-256 of the request's bearer token, in hexadecimal; nullopt without one.
std::optional<std::string> bearer_token_hash(const received_request& request);

//! A request that got its final answer.
struct finished_request {
    //! "generation", "lookup" or "order".
    std::string_view kind;
    request_id request;
    organisation_id organisation;
    //! The model or service.
    std::string service;
    outcome result = outcome::completed;
    //! Why it was refused; absent for an answer.
    std::optional<error_code> refused;
    answer_timing timing;
};

//! Counts one finished request for metrics and service levels, and logs it.
void record_finished(daemon_context& context, const finished_request& finished);

} // namespace dandelionstep
