#include "entry/calls/call_runner.hpp"

#include "adapters/http_text.hpp"
#include "adapters/log.hpp"
#include "entry/calls/internal/call_carrier.hpp"
#include "entry/registry/target_notices.hpp"
#include "entry/requests/refusal.hpp"
#include "request/backoff_wait.hpp"
#include "route/pick_target.hpp"

#include <algorithm>

namespace dandelionstep {
namespace internal {
namespace {

// New connections are established within a few milliseconds; one that takes longer goes to a dead target.
constexpr milliseconds connect_timeout{250};
// Connections that have been idle for longer may have been dropped without notice; requests that may run only
// once go over newer ones.
constexpr milliseconds fresh_idle{200};
constexpr milliseconds any_idle{60'000};
// A silence of so many objectives makes an idempotent request worth sending once more.
constexpr std::int64_t objectives_before_second = 1;
constexpr milliseconds least_before_second{60};
// Left of the time to hand over the final answer before the caller gives up.
constexpr milliseconds answer_margin{15};

} // namespace

void call_carrier::start()
{
    const std::weak_ptr<call_carrier> watched = this->weak_from_this();
    // The exchange keeps the runner, and lets it go when the answer is complete.
    this->request.caller->on_gone = [self = this->shared_from_this()] { self->caller_gone(); };
    this->request.caller->on_time_up = [watched] {
        if (const auto self = watched.lock()) {
            self->time_up();
        }
    };
    const milliseconds left = this->request.deadline - answer_margin - event_loop::now();
    this->deadline_timer = this->context.loop.run_after(left, [watched] {
        if (const auto self = watched.lock()) {
            self->deadline_passed();
        }
    });
    this->send_next();
}

void call_carrier::send_next()
{
    if (!this->is_wanted()) {
        this->end_unwanted();
        return;
    }
    if (!this->passes_segment_guard()) {
        return;
    }
    target_query query;
    query.service = this->request.service;
    query.entry = this->context.settings.data_centre;
    query.excluded = this->tried;
    query.now = event_loop::now();
    query.draw = this->context.draw();
    query.counts_work = this->context.controls_load();
    const registered_target* target = pick_target(query, this->context.targets, this->context.conditions);
    if (target == nullptr && this->running == 0) {
        this->wait_or_give_up("no_target");
        return;
    }
    if (target != nullptr) {
        this->send_to(*target);
    }
}

// While an attempt runs, no other one waits beside it.
bool call_carrier::passes_segment_guard()
{
    const segment_verdict verdict =
        this->tools.guard.segments().verdict(this->request.service, this->request.segments);
    const segment_decision decided =
        decide(this->waits_for_segments, verdict, this->request.route->latency_objective, event_loop::now());
    if (decided.action == segment_action::send) {
        return true;
    }
    if (this->running > 0) {
        return false;
    }
    if (decided.action == segment_action::give_up) {
        this->give_up_segments(decided.span);
        return false;
    }
    const std::weak_ptr<call_carrier> watched = this->weak_from_this();
    this->rest_timer = this->context.loop.run_after(decided.span, [watched] {
        const auto self = watched.lock();
        if (self && !self->finished) {
            self->send_next();
        }
    });
    return false;
}

// Targets that were tried may be asked again once they have rested.
void call_carrier::wait_or_give_up(const char* reason)
{
    const time_point now = event_loop::now();
    const std::optional<time_point> ready = all_rest_until(this->context, this->request.service);
    const bool is_worth = ready && is_worth_waiting(*ready, this->request.deadline - answer_margin,
                                                    this->request.route->latency_objective, now);
    const bool was_sent = this->refusals > 0 || this->sent_count > 0;
    if (!is_worth || this->has_waited || (was_sent && !this->may_send_again("rested"))) {
        this->give_up(reason);
        return;
    }
    this->has_waited = true;
    this->tried.clear();
    const std::weak_ptr<call_carrier> watched = this->weak_from_this();
    this->rest_timer = this->context.loop.run_at(*ready, [watched] {
        const auto self = watched.lock();
        if (self && !self->finished) {
            self->send_next();
        }
    });
}

std::optional<time_point> call_carrier::first_sent_to(const endpoint& to) const
{
    const auto first = std::ranges::find_if(
        this->attempts, [&to](const std::shared_ptr<attempt>& sent) { return sent->target.address == to; });
    return first == this->attempts.end() ? std::nullopt : std::optional((*first)->sent_at);
}

void call_carrier::send_to(const registered_target& target)
{
    send_options options;
    options.connect_timeout = connect_timeout;
    options.most_idle = this->is_idempotent() ? any_idle : fresh_idle;
    options.carried_nothing_since =
        carried_nothing_since(awaited_by(this->request), this->first_sent_to(target.address));
    auto sent = std::make_shared<attempt>(this->context.answer_bytes);
    sent->target = target;
    sent->sent_at = event_loop::now();
    this->attempts.push_back(sent);
    this->tried.insert(target.id);
    ++this->sent_count;
    ++this->running;
    target_condition& condition = this->context.conditions[target.id];
    ++condition.in_flight;
    this->begin_work(*sent, condition);
    note_sent(condition, sent->sent_at);
    sent->is_backoff_trial = note_send(this->context, target.id);
    forwarding added;
    added.expected = target.id;
    added.organisation = this->request.organisation;
    added.patience = this->request.deadline - sent->sent_at;
    const http_head& head = this->request.caller->head;
    const http_headers headers = this->context.dialect.forward_headers(head.headers, added);
    sent->exchange = this->context.channels.send(
        target.address,
        {request_head(head.method, head.target, headers, this->request.caller->body.size()),
         shared_body(this->request.caller)},
        options, this->callbacks_of(sent));
    sent->trial = this->tools.guard.segments().begin(this->request.segments, this->request.facts.attempt_id);
    if (this->is_idempotent()) {
        this->watch_silence(sent);
    }
}

exchange_callbacks call_carrier::callbacks_of(const std::shared_ptr<attempt>& sent)
{
    const std::weak_ptr<call_carrier> watched = this->weak_from_this();
    exchange_callbacks callbacks;
    callbacks.may_send = [watched] {
        const auto self = watched.lock();
        return self && !self->finished && self->is_wanted();
    };
    callbacks.is_own = [watched, sent](const http_head& head, connection_use use) {
        const auto self = watched.lock();
        if (!self) {
            return true;
        }
        const answer_check check = check_answer(self->context, awaited_by(self->request), head, use);
        sent->evidence = check.evidence;
        return check.is_own;
    };
    callbacks.on_head = [this, watched, sent](const http_head& head) {
        if (const auto self = watched.lock()) {
            sent->head = head;
            sent->facts = this->context.dialect.read_response(head.status, head.headers);
            take_notices(this->context, {sent->target.id, sent->target.started, sent->is_backoff_trial},
                         sent->facts);
        }
    };
    callbacks.on_body = [sent](std::string_view part) { return sent->body.append(part); };
    callbacks.on_end = [watched, sent](exchange_end end, bool reused) {
        if (const auto self = watched.lock()) {
            self->attempt_ended(*sent, end, reused);
        }
    };
    return callbacks;
}

void call_carrier::watch_silence(const std::shared_ptr<attempt>& sent)
{
    const milliseconds limit =
        std::max(least_before_second, this->request.route->latency_objective * objectives_before_second);
    const std::weak_ptr<call_carrier> watched = this->weak_from_this();
    this->silence_timer = this->context.loop.run_after(limit, [watched, sent] {
        const auto self = watched.lock();
        if (self && !self->finished && !sent->ended) {
            note_failure(self->context.conditions[sent->target.id], target_failure::silent,
                         event_loop::now());
            self->log_failed(*sent, "silent");
            if (self->may_send_again("silence")) {
                self->send_next();
            }
        }
    });
}

bool call_carrier::may_send_again(const char* reason)
{
    return this->tools.guard.held_for(this->request.fingerprint) == milliseconds{0} &&
           take_another_send(this->context, this->request, this->sent_count, reason);
}

// One line for each attempt that gave no answer, with what the choice was made from.
void call_carrier::log_failed(const attempt& failed, std::string_view how)
{
    const time_point now = event_loop::now();
    if (!may_log(this->context.logs, log_weight::failure, now)) {
        return;
    }
    const target_condition& condition = this->context.conditions[failed.target.id];
    log_event("attempt_failed", {{"id", this->request.facts.attempt_id},
                                 {"target", failed.target.id.value},
                                 {"how", how},
                                 {"status", failed.head.status},
                                 {"evidence", failed.head.status == 0 ? "" : name_of(failed.evidence)},
                                 {"ms", now - failed.sent_at},
                                 {"attempt", this->sent_count},
                                 {"in_flight", condition.in_flight},
                                 {"failures_in_a_row", condition.consecutive_failures},
                                 {"config", this->request.config->version.value},
                                 {"fingerprint", this->request.fingerprint.value}});
}

void call_carrier::release(attempt& ended)
{
    if (ended.ended) {
        return;
    }
    ended.ended = true;
    ended.trial.reset();
    --this->running;
    const auto found = this->context.conditions.find(ended.target.id);
    if (found != this->context.conditions.end()) {
        found->second.in_flight = std::max<std::int64_t>(0, found->second.in_flight - 1);
        end_call(found->second.calls, ended.work);
    }
}

// Notes the work that the call brings its target, as far as it is known.
void call_carrier::begin_work(attempt& sent, target_condition& condition)
{
    if (!this->context.controls_load()) {
        return;
    }
    const double expected = expected_call_ms(this->context.costs, this->request.route->name, sent.sent_at);
    if (expected > 0) {
        sent.work = call_work{sent.sent_at, expected};
        condition.calls.push_back(*sent.work);
    }
}

void call_carrier::caller_gone()
{
    if (!this->finished) {
        this->end_attempts();
        record_request(this->context, this->request, 0, "caller_gone", {});
    }
}

bool call_carrier::is_wanted() const
{
    return dandelionstep::is_wanted(this->request, answer_margin);
}

void call_carrier::end_unwanted()
{
    if (this->request.caller->has_left()) {
        this->caller_gone();
        this->request.caller->abort();
    } else {
        this->deadline_passed();
    }
}

void call_carrier::end_attempts()
{
    this->finished = true;
    this->deadline_timer = {};
    this->silence_timer = {};
    this->rest_timer = {};
    for (const std::shared_ptr<attempt>& open : this->attempts) {
        if (!open->ended) {
            this->context.channels.cancel(open->exchange);
            this->release(*open);
        }
    }
}

} // namespace internal

void run_call(entry_context& context, request_tools& tools, accepted_request request)
{
    std::make_shared<internal::call_carrier>(context, tools, std::move(request))->start();
}

} // namespace dandelionstep
