#include "daemon/order_runner.hpp"

#include "adapters/log.hpp"
#include "adapters/random.hpp"
#include "common/hash.hpp"
#include "daemon/answers.hpp"
#include "route/choose_replica.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

constexpr std::string_view kind = "order";
constexpr int max_background_tries = 600;
constexpr milliseconds first_background_delay{200};
constexpr milliseconds max_background_delay{10'000};
constexpr int unavailable_status = 503;

std::optional<stored_order> to_stored(const std::optional<table_row>& row)
{
    if (!row) {
        return std::nullopt;
    }
    auto record = parse_order_record(row->value);
    if (!record.ok()) {
        // A row that can't be read may be an order that ran, so it counts as being sent.
        order_record unreadable;
        unreadable.phase = order_phase::sending;
        return stored_order{row->version, unreadable};
    }
    return stored_order{row->version, *std::move(record)};
}

order_event to_event(const commit_answer& answer)
{
    switch (answer.result) {
    case commit_result::committed:
        return write_committed{answer.version};
    case commit_result::conflicted:
        return write_conflicted{to_stored(answer.conflict)};
    case commit_result::refused:
        return write_refused{};
    case commit_result::unsure:
        return write_unsure{};
    }
    return write_unsure{};
}

table_transaction write_row(const order_record& record, row_version expected)
{
    return {.conditions = {{table_key(record), expected}}, .writes = {{table_key(record), to_json(record)}}};
}

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
    for (const order_action& action : advance(order->state, event, replicas, event_loop::wall_now())) {
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
        order_read event;
        event.failed = answer.failed;
        if (!answer.rows.empty()) {
            event.current = to_stored(answer.rows.front());
        }
        this->handle(order, event);
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
                this->handle(order, target_ran_nothing{target});
            } else {
                this->handle(order, target_unsure{});
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
    this->write_in_background(action.record, max_background_tries);
}

void order_runner::perform(const running_ptr& /*order*/, const record_answer& action)
{
    this->write_in_background(action.record, max_background_tries);
}

// Both background writes replace only the row that still carries our own nonce, so they are repeated freely.
void order_runner::write_in_background(const order_record& record, int tries)
{
    ++this->background_writes;
    this->try_background_write(record, tries);
}

void order_runner::try_background_write(const order_record& record, int tries)
{
    const auto retry = [this, record, tries] {
        if (tries <= 1) {
            --this->background_writes;
            log_event("order_write_given_up", {{"request", record.request.value}});
            return;
        }
        const std::int64_t made = max_background_tries - tries;
        const milliseconds delay = std::min(first_background_delay * (made + 1), max_background_delay);
        auto timer = std::make_shared<event_loop::timer>();
        *timer = this->context.loop.run_after(delay, [this, record, tries, timer] {
            *timer = {};
            this->try_background_write(record, tries - 1);
        });
    };
    this->context.platform.read(table_key(record), [this, record, retry](const read_answer& answer) {
        if (answer.failed) {
            retry();
            return;
        }
        const std::optional<stored_order> current =
            answer.rows.empty() ? std::nullopt : to_stored(answer.rows.front());
        if (!current || current->record.nonce != record.nonce || current->record.phase == record.phase) {
            --this->background_writes;
            return;
        }
        this->context.platform.commit(write_row(record, current->version),
                                      [this, retry](const commit_answer& committed) {
                                          if (committed.result == commit_result::committed) {
                                              --this->background_writes;
                                          } else {
                                              retry();
                                          }
                                      });
    });
}

} // namespace dandelionstep
