#include "daemon/order_operations.hpp"

#include "absl/strings/str_cat.h"
#include "adapters/log.hpp"
#include "daemon/answers.hpp"
#include "daemon/order_events.hpp"
#include "order/settlement.hpp"

namespace dandelionstep {
namespace {

constexpr int ok_status = 200;
constexpr int rows_per_page = 500;
// A daemon sends within a few seconds of its mark and waits for the target no longer than the call's timeout.
constexpr milliseconds settle_margin{10'000};

json listed(const order_record& record, wall_time now)
{
    return {{"organisation", record.organisation.value},
            {"service", record.service.value},
            {"key", record.key.value},
            {"phase", std::string(to_string(record.phase))},
            {"holder", record.holder.value},
            {"request", record.request.value},
            {"age_ms", now.count - record.claimed_at.count},
            {"note", record.note}};
}

json listed_page(const read_answer& answer, std::string_view phase)
{
    json orders = json::array();
    for (const table_row& row : answer.rows) {
        const auto record = parse_order_record(row.value);
        if (record.ok() && (phase.empty() || to_string(record->phase) == phase)) {
            orders.push_back(listed(*record, event_loop::wall_now()));
        }
    }
    const bool more = answer.rows.size() >= rows_per_page;
    return {{"orders", orders}, {"next", more ? answer.rows.back().key : ""}};
}

void list_orders(daemon_context& context, const received_request& request,
                 const std::shared_ptr<http_reply>& reply)
{
    const std::string phase = request.parameter("phase");
    if (!phase.empty() && !parse_order_phase(phase).ok()) {
        send_refusal(
            *reply, execution_tracker{}.refuse(error_code::bad_request,
                                               absl::StrCat("no order phase is called \"", phase, "\""), {}));
        return;
    }
    context.platform.scan(
        order_prefix, request.parameter("after"), rows_per_page, [reply, phase](const read_answer& answer) {
            if (answer.failed) {
                send_refusal(*reply, execution_tracker{}.refuse(error_code::store_unavailable,
                                                                "the platform's table is not reachable",
                                                                milliseconds{1000}));
                return;
            }
            reply->send(ok_status, dump(listed_page(answer, phase)));
        });
}

// Carries out one settlement; kept alive by the table's calls.
class settling : public std::enable_shared_from_this<settling> {
public:
    settling(daemon_context& context, settlement_request request, std::shared_ptr<http_reply> reply)
        : context(context), reply(std::move(reply))
    {
        this->state.request = std::move(request);
    }

    void handle(const settlement_event& event)
    {
        for (const settlement_action& action : advance(this->state, event, event_loop::wall_now())) {
            std::visit([this](const auto& each) { this->perform(each); }, action);
        }
    }

private:
    [[nodiscard]] order_record addressed() const
    {
        order_record record;
        record.organisation = this->state.request.organisation;
        record.service = this->state.request.service;
        record.key = this->state.request.key;
        return record;
    }

    void perform(const read_order& /*action*/)
    {
        this->context.platform.read(table_key(this->addressed()),
                                    [self = this->shared_from_this()](const read_answer& answer) {
                                        self->handle(order_event{to_event(answer)});
                                    });
    }

    void perform(const write_order& action)
    {
        this->context.platform.commit(write_row(action.record, action.expected),
                                      [self = this->shared_from_this()](const commit_answer& answer) {
                                          self->handle(to_event(answer));
                                      });
    }

    void perform(const settlement_done& action)
    {
        log_event("order_settled", {{"request", action.record.request.value},
                                    {"phase", to_string(action.record.phase)},
                                    {"note", action.record.note}});
        this->reply->send(ok_status, dump(listed(action.record, event_loop::wall_now())));
    }

    void perform(const settlement_refused& action) { send_refusal(*this->reply, action.why); }

    daemon_context& context;
    std::shared_ptr<http_reply> reply;
    settlement_state state;
};

void settle_order(daemon_context& context, const received_request& request,
                  const std::shared_ptr<http_reply>& reply)
{
    const auto body = parse_json(request.body);
    auto settlement = body.ok() ? parse_settlement(*body) : body.status();
    if (!settlement.ok()) {
        send_refusal(*reply, execution_tracker{}.refuse(error_code::bad_request,
                                                        std::string(settlement.status().message()), {}));
        return;
    }
    const auto& services = context.configuration.declared.services;
    if (const auto service = services.find(settlement->service); service != services.end()) {
        settlement->min_age = settle_margin + service->second.call_timeout * 2;
    }
    std::make_shared<settling>(context, *std::move(settlement), reply)->handle(settlement_started{});
}

} // namespace

bool handle_order_operation(daemon_context& context, const received_request& request,
                            const std::shared_ptr<http_reply>& reply)
{
    if (request.method == "GET" && request.path == "/v1/orders") {
        list_orders(context, request, reply);
        return true;
    }
    if (request.method == "POST" && request.path == "/v1/orders/settle") {
        settle_order(context, request, reply);
        return true;
    }
    return false;
}

} // namespace dandelionstep
