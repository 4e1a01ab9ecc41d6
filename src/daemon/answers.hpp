#pragma once

#include "adapters/caller_server.hpp"
#include "common/outcome.hpp"
#include "daemon/context.hpp"

#include <string_view>

namespace dandelionstep {

//! The header that tells a caller what became of its request.
inline constexpr const char* outcome_header = "Outcome";

//! The error body of a refusal.
std::string refusal_body(const refusal& why);

//! Answers a caller with a refusal, its outcome and when to come back.
void send_refusal(caller_reply& reply, const refusal& why);

//! Counts and logs one answered request.
void record_answered(daemon_context& context, std::string_view kind, const request_id& request,
                     const organisation_id& organisation, outcome result, std::string_view code);

} // namespace dandelionstep
