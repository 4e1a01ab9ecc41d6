#pragma once

#include "entry/context/http_calls.hpp"

#include <functional>
#include <optional>

namespace dandelionstep {

//! Asks an engine for its report; nullopt when none came in time.
void ask_report(entry_context& context, const target_id& id, const endpoint& to, milliseconds timeout,
                std::function<void(const std::optional<engine_report>&)> done);

//! Makes a call to an engine that is no request of a caller, and takes what it says of itself in the answer.
void call_engine(entry_context& context, const target_id& id, const endpoint& to, const outgoing_call& call,
                 milliseconds timeout, http_answer_callback done);

} // namespace dandelionstep
