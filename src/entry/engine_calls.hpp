#pragma once

#include "entry/entry_context.hpp"

#include <functional>
#include <optional>

namespace dandelionstep {

//! What an engine answered to a question or an order.
struct engine_answer {
    exchange_end end = exchange_end::not_sent;
    //! 0 when no response came.
    int status = 0;
    std::string body;
};

//! Sends questions and orders to engines.
class engine_calls {
public:
    using done_callback = std::function<void(const engine_answer&)>;

    explicit engine_calls(entry_context& context) : context(context) {}

    //! `done` is called exactly once, at the latest after the timeout.
    void send(const endpoint& to, const outgoing_call& call, milliseconds timeout, done_callback done);
    //! Asks an engine for its report; nullopt when none came.
    void ask_report(const target_id& id, const endpoint& to, milliseconds timeout,
                    std::function<void(const std::optional<engine_report>&)> done);

private:
    entry_context& context;
};

} // namespace dandelionstep
