#include "daemon/order_runner.hpp"

#include "adapters/log.hpp"
#include "adapters/random.hpp"
#include "common/hash.hpp"
#include "daemon/answers.hpp"
#include "daemon/leaving_watch.hpp"
#include "daemon/order_events.hpp"
#include "route/choose_replica.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

constexpr std::string_view kind = "order";
// Bounds the memory that a long outage of the table can take.
constexpr std::int64_t max_background_writes = 10'000;
constexpr int unavailable_status = 503;

} // namespace

struct order_runner::running_order {
    order_state state;
    service_call call;
    std::shared_ptr<caller_reply> reply;
};

void order_runner::start(service_call call, const std::shared_ptr<caller_reply>& reply)
{
    auto order = std::make_shared<running_order>();
    order->call = std::move(call);
    order->reply = reply;
    order_record& record = order->state.record;
    record.organisation = order->call.organisation;
    record.service = order->call.service;
    record.key = order->call.key;
    record.nonce = random_id();
    record.holder = this->context.configured.vm;
    record.body_sha256 = sha256_hex(order->call.path + "\n" + order->call.body);
    record.request = order->call.id;
    ++this->context.requests_in_flight;
    this->handle(order, order_started{});
}

void order_runner::handle(const running_ptr& order, const order_event& event)
{
    if (order->state.waiting == order_wait::finished) {
        return;
    }
    const replica_source replicas = [&](const std::set<target_id>& excluded) {
        const replica_query query{order->call.service, this->context.configured.data_centre, excluded,
                                  hash_of(order->call.id.value)};
        return choose_replica(this->context.configuration.declared, this->context.health, query,
                              event_loop::now());
    };
    const order_clock clock{event_loop::now(), event_loop::wall_now()};
    for (const order_action& action : advance(order->state, event, replicas, clock)) {
        std::visit([&](const auto& each) { this->perform(order, each); }, action);
    }
    if (order->state.waiting == order_wait::finished) {
        --this->context.requests_in_flight;
    }
}

void order_runner::perform(const running_ptr& order, const write_order& action)
{
    this->context.platform.commit(
        write_row(action.record, action.expected),
        [this, order](const commit_answer& answer) { this->handle(order, to_event(answer)); });
}

void order_runner::perform(const running_ptr& order, const read_order& /*action*/)
{
    this->context.platform.read(table_key(order->state.record), [this, order](const read_answer& answer) {
        this->handle(order, to_event(answer));
    });
}

void order_runner::perform(const running_ptr& order, const send_order& action)
{
    log_event("order_sent", {{"request", order->call.id.value}, {"target", action.to.id.value}});
    ++this->context.health[action.to.id].in_flight;
    this->context.http.send(
        action.to.address, to_http_request(order->call),
        [this, order, target = action.to.id](const http_result& result) {
            target_health& health = this->context.health[target];
            --health.in_flight;
            note_answer(this->context, target, result);
            const auto& services = this->context.configuration.declared.services;
            const auto service = services.find(order->call.service);
            const bool trusted = service != services.end() && service->second.refusals_did_not_run;
            const bool refused = result.answered() && trusted && result.status == unavailable_status &&
                                 result.header(outcome_header) == to_string(outcome::not_run);
            if (result.answered() && !refused) {
                record_success(health);
                this->handle(order,
                             target_answered{{result.status, result.header("Content-Type"), result.body}});
                return;
            }
            record_failure(health, event_loop::now());
            if (refused || !result.bytes_sent) {
                this->handle(order, target_did_not_run{target});
            } else {
                this->handle(order, target_outcome_unknown{});
            }
        });
}

void order_runner::perform(const running_ptr& order, const answer_order& action)
{
    record_finished(this->context, finished_call(kind, order->call, outcome::completed, std::nullopt));
    order->reply->add_header(outcome_header, std::string(to_string(outcome::completed)));
    if (action.repeated) {
        order->reply->add_header("Idempotent-Replayed", "true");
    }
    order->reply->send(action.answer.status, action.answer.body, action.answer.content_type);
}

void order_runner::perform(const running_ptr& order, const refuse_order& action)
{
    record_finished(this->context, finished_call(kind, order->call, action.why.result, action.why.code));
    send_refusal(*order->reply, action.why);
}

void order_runner::perform(const running_ptr& /*order*/, const release_order& action)
{
    this->write_in_background({action.expected, action.record});
}

void order_runner::perform(const running_ptr& /*order*/, const record_answer& action)
{
    this->write_in_background({action.expected, action.record});
}

void order_runner::write_in_background(const background_write& write)
{
    if (this->background_writes >= max_background_writes) {
        log_event("order_write_given_up",
                  {{"request", write.record.request.value}, {"phase", to_string(write.record.phase)}});
        return;
    }
    ++this->background_writes;
    this->try_background_write(write);
}

void order_runner::try_background_write(const background_write& write)
{
    this->context.platform.commit(
        write_row(write.record, write.expected), [this, write](const commit_answer& answer) {
            background_write next = write;
            const background_step step = advance(next, to_event(answer));
            switch (step.what) {
            case background_step::kind::retry: {
                auto timer = std::make_shared<event_loop::timer>();
                *timer = this->context.loop.run_after(step.delay, [this, next, timer] {
                    *timer = {};
                    this->try_background_write(next);
                });
                return;
            }
            case background_step::kind::given_up:
                log_event("order_write_given_up",
                          {{"request", next.record.request.value}, {"phase", to_string(next.record.phase)}});
                break;
            case background_step::kind::finished:
                break;
            }
            --this->background_writes;
        });
}

} // namespace dandelionstep
