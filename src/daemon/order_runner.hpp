#pragma once

#include "adapters/caller_server.hpp"
#include "daemon/context.hpp"
#include "daemon/service_call.hpp"
#include "order/background_write.hpp"

#include <memory>

namespace dandelionstep {

//! Carries out orders: claims them in the platform's table, sends them once, keeps their answers.
class order_runner {
public:
    explicit order_runner(daemon_context& context) : context(context) {}

    void start(service_call call, const std::shared_ptr<caller_reply>& reply);
    //! Rows that still wait to be written in the background.
    [[nodiscard]] std::int64_t unwritten() const { return this->background_writes; }

private:
    struct running_order;
    using running_ptr = std::shared_ptr<running_order>;

    void handle(const running_ptr& order, const order_event& event);
    void perform(const running_ptr& order, const write_order& action);
    void perform(const running_ptr& order, const read_order& action);
    void perform(const running_ptr& order, const send_order& action);
    void perform(const running_ptr& order, const answer_order& action);
    void perform(const running_ptr& order, const refuse_order& action);
    void perform(const running_ptr& order, const release_order& action);
    void perform(const running_ptr& order, const record_answer& action);
    void write_in_background(const background_write& write);
    void try_background_write(const background_write& write);

    daemon_context& context;
    std::int64_t background_writes = 0;
};

} // namespace dandelionstep
