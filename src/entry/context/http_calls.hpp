#pragma once

#include "entry/context/entry_context.hpp"

#include <functional>
#include <optional>
#include <string>

namespace dandelionstep {

//! What came back of an HTTP call.
struct http_answer {
    exchange_end end = exchange_end::not_sent;
    //! 0 when no whole response came in time.
    int status = 0;
    http_headers headers;
    std::string body;
};

using http_answer_callback = std::function<void(const http_answer&)>;

//! How long a call may take: until the head of its response, until all of it has come, and until a new
//! connection is made, where that is shorter.
struct call_times {
    milliseconds head{0};
    milliseconds whole{0};
    std::optional<milliseconds> connect = std::nullopt;
};

//! Makes one call over a kept connection; `done` is called exactly once, in time.
void send_call(entry_context& context, const endpoint& to, const outgoing_call& call, const call_times& times,
               http_answer_callback done);
//! The same with one time for all of it.
void send_call(entry_context& context, const endpoint& to, const outgoing_call& call, milliseconds timeout,
               http_answer_callback done);

} // namespace dandelionstep
