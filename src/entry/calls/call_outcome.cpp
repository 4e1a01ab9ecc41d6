#include "adapters/log.hpp"
#include "entry/calls/internal/call_carrier.hpp"
#include "entry/registry/target_notices.hpp"
#include "entry/requests/refusal.hpp"

#include <algorithm>

namespace dandelionstep::internal {
namespace {

constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;
constexpr int first_success = 200;
constexpr int first_redirect = 300;
constexpr int first_server_error = 500;
// Failures to connect prove that nothing ran, so they don't count as attempts; this bounds them.
constexpr int max_unconnected = 3;
// The same holds for refusals, but each costs a place in the retry budget.
constexpr int max_refusals = 2;
constexpr milliseconds pause_after_refusal{100};

} // namespace

void call_carrier::attempt_ended(attempt& ended, exchange_end end, bool reused)
{
    if (this->finished) {
        return;
    }
    const bool was_trial = ended.trial != nullptr;
    this->release(ended);
    if (end == exchange_end::withdrawn) {
        --this->sent_count;
        this->end_unwanted();
        return;
    }
    const time_point now = event_loop::now();
    target_condition& condition = this->context.conditions[ended.target.id];
    if (end == exchange_end::not_sent) {
        note_failure(condition, target_failure::unreachable, now);
        this->log_failed(ended, "unreachable");
        this->context.channels.forget(ended.target.address);
        this->unconnected();
    } else if (end == exchange_end::broken) {
        this->context.channels.forget(ended.target.address);
        if (!reused) {
            note_failure_of(this->context, ended.target.id, ended.target.started, target_failure::broken);
        }
        this->maybe_ran = true;
        this->log_failed(ended, reused ? "broken_reused" : "broken");
        this->tools.guard.note_lost({ended.target.id, ended.target.started, this->request.fingerprint,
                                     crash_place{}, this->request.facts.attempt_id, this->request.segments, 0,
                                     was_trial});
        this->after_failure("broken", reused);
    } else {
        this->answered(ended, condition, now);
    }
}

void call_carrier::unconnected()
{
    --this->sent_count;
    if (++this->unconnected_count <= max_unconnected) {
        this->send_next();
    } else if (this->running == 0) {
        this->give_up("unreachable");
    }
}

void call_carrier::answered(attempt& ended, target_condition& condition, time_point now)
{
    note_reached(condition);
    if (ended.facts.load) {
        note_load(condition, ended.facts.load->running + ended.facts.load->waiting, now);
    }
    if (ended.facts.did_not_run) {
        note_refusal(condition, pause_after_refusal, now);
        count_refusal(this->context, ended.evidence);
        this->log_failed(ended, "refused");
        this->refused_by_target();
        return;
    }
    note_accepted(this->context.shares[this->request.service], now);
    const bool is_success = ended.head.status >= first_success && ended.head.status < first_redirect;
    if ((is_success && !ended.facts.is_signed) || ended.facts.is_encoded) {
        note_failure(condition, target_failure::faulty, now);
        this->maybe_ran = true;
        this->log_failed(ended, "faulty");
        this->after_failure("faulty", false);
        return;
    }
    if (!this->is_idempotent() && promises_not_run(ended.head.status)) {
        // Passed on, the status would promise what the target did not state.
        note_failure(condition, target_failure::faulty, now);
        this->maybe_ran = true;
        this->log_failed(ended, "refused_unstated");
        this->after_failure("refused_unstated", false);
        return;
    }
    if (is_success) {
        this->tools.guard.note_ran_well(this->request.fingerprint);
        this->tools.guard.segments().note_answer_begun(this->request.segments);
    }
    if (ended.head.status < first_server_error) {
        note_response(condition, now - ended.sent_at, now);
        if (this->context.controls_load()) {
            note_call(this->context.costs, this->request.route->name, now - ended.sent_at, now);
        }
        this->deliver(ended);
        return;
    }
    note_failure(condition, target_failure::faulty, now);
    this->log_failed(ended, "failed");
    this->failed_by_target(ended);
}

// Another replica may do better with what may be repeated; the failure is kept as the answer until then.
void call_carrier::failed_by_target(attempt& ended)
{
    if (this->is_idempotent() && this->may_send_again("failed")) {
        this->target_failure_answer = ended.shared_from_this();
        this->send_next();
    } else if (this->running == 0) {
        this->deliver(ended);
    } else {
        this->target_failure_answer = ended.shared_from_this();
    }
}

// A refused request ran nowhere, so the refusal doesn't count as an attempt.
void call_carrier::refused_by_target()
{
    --this->sent_count;
    ++this->refusals;
    if (this->refusals <= max_refusals && this->may_send_again("refused")) {
        this->send_next();
    } else if (this->running == 0) {
        this->wait_or_give_up("refused_by_targets");
    }
}

void call_carrier::after_failure(const char* reason, bool reused)
{
    if (this->is_idempotent()) {
        // A kept connection that had gone away is no sign of a failing target.
        if (reused) {
            this->tried.clear();
        }
        if (this->may_send_again(reason)) {
            this->send_next();
            return;
        }
    }
    if (this->running == 0) {
        this->give_up(reason);
    }
}

void call_carrier::deliver(attempt& best)
{
    const http_headers headers = this->context.dialect.answer_headers(best.head.headers);
    this->context.metrics.first_part[std::string(name_of(this->request.route->kind))].add(
        event_loop::now() - this->request.caller->began);
    this->end_attempts();
    record_request(this->context, this->request, best.head.status, "answered", best.target.id);
    this->request.caller->answer(best.head.status, headers, best.body.text());
}

void call_carrier::give_up(std::string_view reason)
{
    if (this->target_failure_answer) {
        this->deliver(*this->target_failure_answer);
        return;
    }
    this->end_attempts();
    if (this->maybe_ran) {
        refuse(this->context, this->request, status_bad_gateway, reason, {0});
        return;
    }
    const std::optional<time_point> rested = all_rest_until(this->context, this->request.service);
    if (rested) {
        refuse_until(this->context, this->request, "targets_rest", *rested);
        return;
    }
    if (this->refusals > 0) {
        note_overload(this->context.shares[this->request.service], event_loop::now());
    }
    refuse_for_now(this->context, this->request, reason, target_return(this->context, this->request.service));
}

// Targets crash as they begin an answer to a request with one of its segments.
void call_carrier::give_up_segments(milliseconds retry_after)
{
    if (this->maybe_ran || this->target_failure_answer) {
        this->give_up(segments_crash_targets);
        return;
    }
    this->end_attempts();
    refuse_segments(this->context, this->request, retry_after);
}

void call_carrier::deadline_passed()
{
    if (this->finished) {
        return;
    }
    const time_point now = event_loop::now();
    for (const std::shared_ptr<attempt>& open : this->attempts) {
        if (!open->ended) {
            this->maybe_ran = this->maybe_ran || channel_pool::was_sent(open->exchange);
            note_failure(this->context.conditions[open->target.id], target_failure::silent, now);
            this->log_failed(*open, "silent");
            this->context.channels.forget(open->target.address);
        }
    }
    if (this->target_failure_answer) {
        this->deliver(*this->target_failure_answer);
        return;
    }
    this->end_attempts();
    refuse(this->context, this->request, this->maybe_ran ? status_gateway_timeout : status_unavailable,
           "deadline", {0});
}

// The daemon ends before the answer would.
void call_carrier::time_up()
{
    if (!this->finished) {
        this->maybe_ran = this->maybe_ran || this->running > 0;
        this->give_up("stopping");
    }
}

} // namespace dandelionstep::internal
