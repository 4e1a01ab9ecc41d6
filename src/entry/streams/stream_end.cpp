#include "adapters/log.hpp"
#include "entry/registry/target_notices.hpp"
#include "entry/requests/expected_answer.hpp"
#include "entry/requests/refusal.hpp"
#include "entry/streams/internal/stream_carrier.hpp"

namespace dandelionstep::internal {
namespace {

constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;
constexpr int first_redirect = 300;
// Refused sends ran nowhere, so they don't count as attempts; this bounds them.
constexpr int max_refusals = 3;
// Failures to connect prove that nothing ran, so they don't count as attempts; after so many a request that
// ran nowhere is refused, and any other pauses between them.
constexpr int max_unconnected = 3;
// An engine that is short of room gets some back as answers end.
constexpr milliseconds pause_after_refusal{300};
// An answer that is so many times as long as expected, or as short, is far off.
constexpr std::int64_t far_off_factor = 4;

} // namespace

void stream_carrier::answered()
{
    const stream_attempt& ended = *this->current;
    if (ended.is_stream && this->has_ended_well()) {
        this->complete();
    } else if (ended.is_stream && ends_with_connection(ended.head)) {
        // Its engine may have died: the connection of a process that ends is closed in order.
        this->consider_death(ended, ended.path.front());
        this->leave_faulty();
    } else if (!ended.is_stream && ended.facts.did_not_run) {
        this->refused_by_engine();
    } else if (this->request.caller->started() || ended.facts.is_encoded ||
               ended.head.status < first_redirect ||
               (!this->is_repeatable() && promises_not_run(ended.head.status))) {
        // An answer that can't go on with what the caller has, or none of the engine's own, or one whose
        // status would promise the caller what the engine did not state.
        this->leave_faulty();
    } else {
        this->deliver_failure();
    }
}

// A stream that ends inside an event has been broken off. One that ended with its connection, which also ends
// when the engine dies, or that goes on with another, must have no bytes after its last event at all.
bool stream_carrier::has_ended_well() const
{
    const stream_attempt& ended = *this->current;
    if (this->splitter.is_malformed || !may_be_partial_event(this->splitter)) {
        return false;
    }
    if (!this->splitter.events_only) {
        return true;
    }
    const bool is_cut = !this->splitter.pending.empty();
    if (ends_with_connection(ended.head)) {
        return !is_cut && ended.events > 0;
    }
    return ended.goes_on ? !is_cut : !is_inside_event(this->splitter);
}

// Its engine brings what is no part of the stream.
void stream_carrier::leave_faulty()
{
    this->maybe_ran = true;
    const target_id first = this->current->path.front().id;
    note_failure(this->context.conditions[first], target_failure::faulty, event_loop::now());
    this->excluded.insert(first);
    this->resume("faulty");
}

void stream_carrier::complete()
{
    const time_point now = event_loop::now();
    for (const hop& part : this->current->path) {
        note_response(this->context.conditions[part.id], {0}, now);
    }
    this->begin_answer();
    // What follows the last whole event belongs to the answer as well.
    this->request.caller->write(this->splitter.leading_comments + this->splitter.pending);
    const target_id first = this->current->path.front().id;
    const int status = this->current->head.status;
    this->log_pace();
    this->learn_length(true);
    this->tools.guard.note_ran_well(this->request.fingerprint);
    this->tools.guard.segments().note_answer_begun(this->request.segments);
    this->end();
    record_request(this->context, this->request, status, "answered", first);
    this->request.caller->finish();
}

// An expectation that was far off is logged, as it makes paths look free or full that are not.
void stream_carrier::learn_length(bool is_complete)
{
    const std::int64_t tokens = this->answer_tokens();
    learn_answer(this->context, this->request, tokens, is_complete);
    const std::int64_t expected = this->current ? this->current->first_expected_tokens : 0;
    const bool is_far_off =
        expected > 0 && (tokens > expected * far_off_factor || tokens * far_off_factor < expected);
    if (is_complete && is_far_off && may_log(this->context.logs, log_weight::success, event_loop::now())) {
        log_event("answer_length_missed", {{"id", this->request.facts.attempt_id},
                                           {"route", this->request.route->name},
                                           {"expected_tokens", expected},
                                           {"tokens", tokens},
                                           {"hint", this->request.facts.answer_hint.value_or(0)}});
    }
}

// How the stream went for its caller; streams that were late tell the path that they took.
void stream_carrier::log_pace()
{
    const bool late = is_late(this->pace, *this->request.route);
    ++this->context.metrics.requests["stream"][late ? "late" : "on_time"];
    if (!late || !may_log(this->context.logs, log_weight::failure, event_loop::now())) {
        return;
    }
    log_event("stream_late", {{"id", this->request.facts.attempt_id},
                              {"first_ms", this->pace.first_after},
                              {"longest_gap_ms", this->pace.longest_gap},
                              {"sent", this->sent_count},
                              {"path_changes", this->path_changes},
                              {"path", path_text(this->current->path)}});
}

void stream_carrier::deliver_failure()
{
    const attempt_pointer failed = this->current;
    this->end();
    record_request(this->context, this->request, failed->head.status, "failed_by_target",
                   failed->path.front().id);
    this->request.caller->answer(
        failed->head.status, this->context.dialect.answer_headers(failed->head.headers), failed->body.text());
}

// The engine at fault is named by the refusal; the first one if not.
void stream_carrier::note_refused(const stream_attempt& attempt)
{
    const time_point now = event_loop::now();
    hop at_fault = attempt.path.front();
    for (const hop& part : attempt.path) {
        if (attempt.facts.at_fault && part.address == *attempt.facts.at_fault) {
            at_fault = part;
        }
    }
    if (may_run(this->context, at_fault.id, at_fault.started)) {
        note_refusal(this->context.conditions[at_fault.id], pause_after_refusal, now);
    }
    this->excluded.insert(at_fault.id);
    --this->sent_count;
    ++this->refusals;
    count_refusal(this->context, attempt.evidence);
    // It may be short of room or dead.
    this->tools.probes.ask_one(at_fault.id, at_fault.address, "refusal");
    if (may_log(this->context.logs, log_weight::failure, now)) {
        log_event("refused_by_engine", {{"id", this->request.facts.attempt_id},
                                        {"status", attempt.head.status},
                                        {"evidence", name_of(attempt.evidence)},
                                        {"target", attempt.path.front().id.value},
                                        {"at_fault", at_fault.id.value}});
    }
}

void stream_carrier::refused_by_engine()
{
    this->note_refused(*this->current);
    end_attempt(this->context, *this->current);
    if (this->refusals <= max_refusals && this->may_send_again("refused")) {
        this->send_next();
    } else {
        this->give_up("refused_by_engine", room_return(this->context, this->service));
    }
}

void stream_carrier::unconnected()
{
    --this->sent_count;
    end_attempt(this->context, *this->current);
    if (++this->unconnected_count <= max_unconnected) {
        this->send_next();
    } else if (this->maybe_ran && this->is_repeatable()) {
        this->wait_for_path();
    } else {
        this->give_up("unreachable", layers_return(this->context, this->service));
    }
}

bool stream_carrier::may_send_again(const char* reason)
{
    return !this->is_held() && take_another_send(this->context, this->request, this->sent_count, reason);
}

bool stream_carrier::may_resume(const char* reason)
{
    return this->is_repeatable() && this->may_send_again(reason);
}

// Goes on after the last event that was passed on, as the current attempt has ended.
void stream_carrier::resume(const char* reason)
{
    end_attempt(this->context, *this->current);
    if (this->is_repeatable() && this->is_held() && this->is_checking()) {
        // A target that broke off may be alive, and only a dead one tells of the request.
        this->pause(pause_without_path, [reason](stream_carrier& self) { self.resume(reason); });
        return;
    }
    if (!this->may_resume(reason)) {
        this->fail(status_bad_gateway, reason);
        return;
    }
    this->log_resumed(reason);
    this->send_next();
}

void stream_carrier::log_resumed(const char* reason) const
{
    log_event("stream_resumed", {{"id", this->request.facts.attempt_id},
                                 {"reason", reason},
                                 {"left", path_text(this->current->path)},
                                 {"after_event", this->splitter.last_id.value_or(0)},
                                 {"attempt", this->sent_count},
                                 {"fingerprint", this->request.fingerprint.value}});
}

void stream_carrier::end_unwanted()
{
    if (!this->request.caller->has_left()) {
        const bool may_run =
            this->maybe_ran || (this->current && channel_pool::was_sent(this->current->exchange));
        this->fail(may_run ? status_gateway_timeout : status_unavailable, "deadline");
        return;
    }
    this->caller_gone();
    this->request.caller->abort();
}

void stream_carrier::end()
{
    this->finished = true;
    this->gate.leave(this->gate_number);
    this->deadline_timer = {};
    this->send_timer = {};
    for (const attempt_pointer& open : {this->current, this->successor}) {
        if (open) {
            end_attempt(this->context, *open);
        }
    }
}

// Ends a request of which nothing ran with a refusal, and any other as failed.
void stream_carrier::give_up(std::string_view reason, std::optional<milliseconds> expected)
{
    if (this->maybe_ran) {
        this->fail(status_bad_gateway, reason);
        return;
    }
    if (this->refusals > 0) {
        note_overload(this->context.shares[this->request.service], event_loop::now());
    }
    this->end();
    refuse_for_now(this->context, this->request, reason, expected);
}

// Every engine that could take the request rests until then.
void stream_carrier::give_up_until(time_point ready)
{
    constexpr const char* reason = "targets_rest";
    if (this->maybe_ran) {
        this->fail(status_bad_gateway, reason);
        return;
    }
    this->end();
    refuse_until(this->context, this->request, reason, ready);
}

// Targets crash as they begin an answer to a prompt with one of its segments.
void stream_carrier::give_up_segments(milliseconds retry_after)
{
    if (this->maybe_ran) {
        this->fail(status_bad_gateway, segments_crash_targets);
        return;
    }
    this->end();
    refuse_segments(this->context, this->request, retry_after);
}

void stream_carrier::fail(int status, std::string_view reason)
{
    if (this->finished) {
        return;
    }
    this->end();
    if (this->request.caller->started()) {
        this->learn_length(false);
        log_event("stream_cut", {{"id", this->request.facts.attempt_id},
                                 {"reason", reason},
                                 {"after_event", this->splitter.last_id.value_or(0)},
                                 {"attempt", this->sent_count}});
        record_request(this->context, this->request, status, "cut", {});
        this->request.caller->abort();
        return;
    }
    refuse(this->context, this->request, status, reason, {0});
}

// The daemon ends before the answer would.
void stream_carrier::time_up()
{
    if (!this->finished) {
        this->maybe_ran = this->maybe_ran || (this->current && !this->current->ended);
        this->give_up("stopping", std::nullopt);
    }
}

void stream_carrier::caller_gone()
{
    if (!this->finished) {
        this->learn_length(false);
        this->end();
        record_request(this->context, this->request, 0, "caller_gone", {});
    }
}

} // namespace dandelionstep::internal
