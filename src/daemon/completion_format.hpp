#pragma once

#include "absl/status/statusor.h"
#include "request/generation.hpp"

#include <string>
#include <vector>

namespace dandelionstep {

//! A caller's request body for a chat completion.
struct completion_request {
    model_id model;
    std::string prompt;
    token_count max_tokens{256};
    bool streamed = false;
};

//! Parses the body of POST /v1/chat/completions; the error names the member.
absl::StatusOr<completion_request> parse_completion(std::string_view body);

//! One token as a server-sent event.
std::string token_event(const generation_request& request, const deliver_token& token);

//! The terminal events of a stream: outcome, token count and digest, then [DONE].
std::string end_event(const generation_request& request, const deliver_end& end);

//! The body of an answer that is not streamed.
std::string whole_answer(const generation_request& request, const std::vector<std::string>& tokens,
                         const deliver_end& end);

} // namespace dandelionstep
