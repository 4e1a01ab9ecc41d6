#pragma once

#include "adapters/caller_server.hpp"
#include "daemon/context.hpp"
#include "daemon/service_call.hpp"
#include "request/lookup.hpp"

#include <memory>

namespace dandelionstep {

//! Carries out calls that may be repeated.
class lookup_runner {
public:
    explicit lookup_runner(daemon_context& context) : context(context) {}

    void start(service_call call, const std::shared_ptr<caller_reply>& reply);

private:
    struct running_lookup;
    using running_ptr = std::shared_ptr<running_lookup>;

    void handle(const running_ptr& lookup, const lookup_event& event);
    void perform(const running_ptr& lookup, const send_lookup& action);
    void perform(const running_ptr& lookup, const cancel_lookup& action);
    void perform(const running_ptr& lookup, const answer_lookup& action);
    void perform(const running_ptr& lookup, const refuse_lookup& action);

    daemon_context& context;
};

} // namespace dandelionstep
