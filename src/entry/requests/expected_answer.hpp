#pragma once

#include "entry/requests/accepted_request.hpp"

#include <cstdint>
#include <optional>

namespace dandelionstep {

//! What is known of the request's answer before it is generated.
answer_query answer_query_of(const accepted_request& request);

//! Expected length of the request's answer in tokens: learned while load is controlled, else as stated.
std::int64_t expected_answer_tokens(const entry_context& context, const accepted_request& request);

//! Tokens of the answer up to the event, which engines number from 1.
std::int64_t answer_tokens_until(const accepted_request& request, std::optional<std::int64_t> last_event);

//! Learns from an answer of a stream that has ended after `tokens` tokens, if load is controlled.
void learn_answer(entry_context& context, const accepted_request& request, std::int64_t tokens,
                  bool is_complete);

} // namespace dandelionstep
