#include "daemon/lookup_runner.hpp"

#include "common/hash.hpp"
#include "daemon/answers.hpp"
#include "daemon/leaving_watch.hpp"
#include "route/choose_replica.hpp"

namespace dandelionstep {
namespace {

constexpr std::string_view kind = "lookup";
// A share of the whole time for each attempt, so that a silent target leaves time for another.
constexpr std::int64_t attempts_per_timeout = 2;

} // namespace

struct lookup_runner::running_lookup {
    lookup_state state;
    service_call call;
    std::shared_ptr<caller_reply> reply;
    http_client::handle exchange;
    event_loop::timer deadline;
};

void lookup_runner::start(service_call call, const std::shared_ptr<caller_reply>& reply)
{
    auto lookup = std::make_shared<running_lookup>();
    lookup->call = std::move(call);
    lookup->reply = reply;
    ++this->context.requests_in_flight;
    // The timer keeps the call alive until it has finished.
    lookup->deadline = this->context.loop.run_after(
        lookup->call.timeout, [this, lookup] { this->handle(lookup, lookup_deadline{}); });
    reply->on_gone([this, watch = std::weak_ptr(lookup)] {
        if (const running_ptr gone = watch.lock()) {
            this->handle(gone, lookup_caller_gone{});
        }
    });
    this->handle(lookup, lookup_started{});
}

void lookup_runner::handle(const running_ptr& lookup, const lookup_event& event)
{
    if (lookup->state.finished) {
        return;
    }
    const lookup_replica_source replicas = [&](const std::set<target_id>& excluded) {
        const replica_query query{lookup->call.service, this->context.configured.data_centre, excluded,
                                  hash_of(lookup->call.id.value)};
        return choose_replica(this->context.configuration.declared, this->context.health, query,
                              event_loop::now());
    };
    for (const lookup_action& action : advance(lookup->state, event, replicas)) {
        std::visit([&](const auto& each) { this->perform(lookup, each); }, action);
    }
    if (lookup->state.finished) {
        --this->context.requests_in_flight;
        lookup->deadline = {};
    }
}

void lookup_runner::perform(const running_ptr& lookup, const send_lookup& action)
{
    http_request request = to_http_request(lookup->call);
    request.timeout = request.timeout / attempts_per_timeout;
    ++this->context.health[action.to.id].in_flight;
    lookup->exchange = this->context.http.send(
        action.to.address, std::move(request),
        [this, lookup, attempt = action.attempt, target = action.to.id](const http_result& result) {
            target_health& health = this->context.health[target];
            --health.in_flight;
            note_answer(this->context, target, result);
            if (!result.answered()) {
                record_failure(health, event_loop::now());
                this->handle(lookup, lookup_attempt_failed{attempt, !result.bytes_sent});
                return;
            }
            record_success(health);
            this->handle(lookup,
                         lookup_answered{attempt, result.status, result.header("Content-Type"), result.body});
        });
}

void lookup_runner::perform(const running_ptr& lookup, const cancel_lookup& /*action*/)
{
    this->context.http.cancel(lookup->exchange);
}

void lookup_runner::perform(const running_ptr& lookup, const answer_lookup& action)
{
    record_finished(this->context, finished_call(kind, lookup->call, outcome::completed, std::nullopt));
    lookup->reply->add_header(outcome_header, std::string(to_string(outcome::completed)));
    lookup->reply->send(action.status, action.body, action.content_type);
}

void lookup_runner::perform(const running_ptr& lookup, const refuse_lookup& action)
{
    record_finished(this->context, finished_call(kind, lookup->call, action.why.result, action.why.code));
    send_refusal(*lookup->reply, action.why);
}

} // namespace dandelionstep
