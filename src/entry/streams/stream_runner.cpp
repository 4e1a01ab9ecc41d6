#include "entry/streams/stream_runner.hpp"

#include "adapters/log.hpp"
#include "entry/registry/target_notices.hpp"
#include "entry/requests/refusal.hpp"
#include "entry/streams/internal/stream_carrier.hpp"
#include "request/backoff_wait.hpp"
#include "route/pick_target.hpp"

#include <algorithm>
#include <utility>

namespace dandelionstep {
namespace internal {
namespace {

constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;
// Left of the time to hand over the final answer before the caller gives up.
constexpr milliseconds answer_margin{20};
// Callers leave a stream that is later than this.
constexpr std::int64_t objectives_to_wait = 4;
constexpr std::string_view event_stream_type = "text/event-stream";

} // namespace

stream_carrier::stream_carrier(entry_context& context_in, request_tools& tools_in, stream_gate& gate_in,
                               accepted_request request_in)
    : context(context_in), tools(tools_in), gate(gate_in), request(std::move(request_in)),
      service(this->request.config->services.at(this->request.service))
{
    this->splitter.last_id = this->request.facts.last_event;
}

void stream_carrier::start()
{
    const std::weak_ptr<stream_carrier> watched = this->weak_from_this();
    // The exchange keeps the carrier, and lets it go when the answer is complete.
    this->request.caller->on_gone = [self = this->shared_from_this()] { self->caller_gone(); };
    this->request.caller->on_time_up = [watched] {
        if (const auto self = watched.lock()) {
            self->time_up();
        }
    };
    const milliseconds left = this->request.deadline - answer_margin - event_loop::now();
    this->deadline_timer = this->context.loop.run_after(left, [watched] {
        if (const auto self = watched.lock()) {
            self->fail(status_gateway_timeout, "deadline");
        }
    });
    this->tools.watch.add([watched](time_point now) {
        const auto self = watched.lock();
        return self && self->watch(now);
    });
    this->send_next();
}

bool stream_carrier::is_wanted() const
{
    return dandelionstep::is_wanted(this->request, answer_margin);
}

void stream_carrier::send_next()
{
    if (!this->is_wanted()) {
        this->end_unwanted();
        return;
    }
    if (!this->passes_segment_guard() || this->is_left_to_gate()) {
        return;
    }
    // A stream whose caller has events already, or comes back with some, moves.
    const bool moves = this->splitter.last_id.has_value() || this->sent_count > 0;
    std::vector<hop> chosen = std::exchange(this->admitted_path, {});
    if (chosen.empty()) {
        chosen = choose_path(this->context, moves ? this->move_wish() : this->wish());
    }
    if (chosen.empty() && this->maybe_ran && this->is_repeatable()) {
        this->wait_for_path();
        return;
    }
    if (chosen.empty()) {
        this->wait_or_give_up("no_path", layers_return(this->context, this->service));
        return;
    }
    this->progress.sent_at = event_loop::now();
    // A cut event is sent whole again after a resumption.
    discard_partial_event(this->splitter);
    this->current = this->send_along(chosen);
}

bool stream_carrier::is_new() const
{
    return !this->maybe_ran && this->sent_count == 0 && !this->splitter.last_id;
}

bool stream_carrier::is_left_to_gate()
{
    if (this->is_admitted || !this->is_new() || !this->context.queues_streams()) {
        return false;
    }
    if (this->gate_number != 0) {
        this->gate.put_back(this->gate_number);
        return true;
    }
    const std::weak_ptr<stream_carrier> watched = this->weak_from_this();
    gated_stream callbacks;
    // The gate asks only while the stream has not left it.
    callbacks.wish = [this] { return this->wish(); };
    callbacks.send = [watched](std::vector<hop> path) {
        if (const auto self = watched.lock()) {
            self->send_admitted(std::move(path));
        }
    };
    callbacks.refuse = [watched](std::string_view reason, milliseconds retry_after) {
        const auto self = watched.lock();
        if (self && !self->finished) {
            self->end();
            refuse(self->context, self->request, status_unavailable, reason, retry_after);
        }
    };
    this->gate.enter(this->request, std::move(callbacks), this->gate_number);
    return true;
}

void stream_carrier::send_admitted(std::vector<hop> path)
{
    if (this->finished) {
        return;
    }
    this->is_admitted = true;
    if (this->refusals > 0 && !this->may_send_again("refused")) {
        this->give_up("refused_by_engine", room_return(this->context, this->service));
        return;
    }
    this->admitted_path = std::move(path);
    this->send_next();
}

// The engines of a stream that ran have ended or can't be reached. Its layers are being loaded elsewhere or
// the engines are silent for a moment, and until then its caller would find no path either.
void stream_carrier::wait_for_path()
{
    this->excluded.clear();
    this->pause(pause_without_path, [](stream_carrier& self) { self.send_next(); });
}

// The caller of a stream that may have run gets nothing better than its continuation.
bool stream_carrier::passes_segment_guard()
{
    const milliseconds objective = this->request.route->latency_objective;
    const milliseconds longest = this->maybe_ran ? objective * objectives_to_wait : objective;
    const segment_verdict verdict =
        this->tools.guard.segments().verdict(this->request.service, this->request.segments);
    const segment_decision decided = decide(this->waits_for_segments, verdict, longest, event_loop::now());
    switch (decided.action) {
    case segment_action::send:
        return true;
    case segment_action::wait:
        this->pause(decided.span, [](stream_carrier& self) { self.send_next(); });
        return false;
    case segment_action::give_up:
        this->give_up_segments(decided.span);
        return false;
    }
    return true;
}

void stream_carrier::pause(milliseconds span, std::function<void(stream_carrier&)> go_on)
{
    const std::weak_ptr<stream_carrier> watched = this->weak_from_this();
    this->send_timer = this->context.loop.run_after(span, [watched, go_on = std::move(go_on)] {
        const auto self = watched.lock();
        if (self && !self->finished) {
            go_on(*self);
        }
    });
}

// Engines that were tried may be asked again once they have rested.
void stream_carrier::wait_or_give_up(const char* reason, std::optional<milliseconds> expected)
{
    const time_point now = event_loop::now();
    const std::optional<time_point> ready =
        first_backoff_end(this->service.id, this->context.targets, this->context.conditions, now);
    if (!ready || layers_return(this->context, this->service)) {
        this->give_up(reason, expected);
        return;
    }
    const bool is_worth = is_worth_waiting(*ready, this->request.deadline - answer_margin,
                                           this->request.route->latency_objective, now);
    const bool was_sent = this->refusals > 0 || this->sent_count > 0;
    if (!is_worth || this->has_waited || (was_sent && !this->may_send_again("rested"))) {
        this->give_up_until(*ready);
        return;
    }
    this->has_waited = true;
    this->excluded.clear();
    const std::weak_ptr<stream_carrier> watched = this->weak_from_this();
    this->send_timer = this->context.loop.run_at(*ready, [watched] {
        const auto self = watched.lock();
        if (self && !self->finished) {
            self->send_next();
        }
    });
}

std::shared_ptr<stream_attempt> stream_carrier::send_along(const std::vector<hop>& path)
{
    ++this->sent_count;
    note_prefill(this->context, path, this->tokens_read());
    const std::weak_ptr<stream_carrier> watched = this->weak_from_this();
    stream_attempt_callbacks callbacks;
    callbacks.may_send = [watched] {
        const auto self = watched.lock();
        return self && !self->finished && self->is_wanted();
    };
    callbacks.on_head = [watched](const attempt_pointer& attempt) {
        if (const auto self = watched.lock()) {
            self->take_head(attempt);
        }
    };
    callbacks.on_body = [watched](const attempt_pointer& attempt, std::string_view part) {
        const auto self = watched.lock();
        return !self || self->take_body(attempt, part);
    };
    callbacks.on_end = [watched](const attempt_pointer& attempt, exchange_end end, bool reused) {
        if (const auto self = watched.lock()) {
            self->attempt_ended(attempt, end, reused);
        }
    };
    const time_point now = event_loop::now();
    const auto [first, is_first] = this->first_sent.emplace(path.front().address, now);
    stream_sending sending{.path = path, .last_event = this->splitter.last_id, .first_sent = std::nullopt};
    if (!is_first) {
        sending.first_sent = first->second;
    }
    auto begun = begin_attempt(this->context, this->request, std::move(sending), std::move(callbacks));
    this->try_segments(*begun);
    return begun;
}

void stream_carrier::try_segments(stream_attempt& attempt)
{
    attempt.trial =
        this->tools.guard.segments().begin(this->request.segments, this->request.facts.attempt_id);
}

void stream_carrier::take_head(const attempt_pointer& attempt)
{
    if (this->finished || !attempt->is_stream) {
        return;
    }
    // An answer in another form doesn't go on with what the caller has.
    attempt->is_stream = !this->begun || form_of(attempt->head) == *this->begun;
    if (attempt->is_stream) {
        this->take_stream(attempt);
    }
}

void stream_carrier::take_stream(const attempt_pointer& attempt)
{
    if (!this->maybe_ran) {
        note_accepted(this->context.shares[this->request.service], event_loop::now());
    }
    this->maybe_ran = true;
    if (attempt == this->successor) {
        this->succeed();
    } else if (this->successor && !this->request.caller->started()) {
        // The current attempt has come to life after all.
        this->drop_successor();
    }
    const stream_form form = form_of(attempt->head);
    attempt->goes_on = this->begun.has_value();
    this->splitter.events_only = attempt->goes_on || form.media_type == event_stream_type;
    this->splitter.needs_ids = attempt->goes_on && this->splitter.has_events;
}

// With the first event and not before, so that the caller of an attempt that fails without one still gets
// another attempt's answer, or a refusal.
void stream_carrier::begin_answer()
{
    if (this->begun) {
        return;
    }
    const http_head& head = this->current->head;
    this->begun = form_of(head);
    this->request.caller->start(head.status, this->context.dialect.answer_headers(head.headers));
}

bool stream_carrier::take_body(const attempt_pointer& attempt, std::string_view part)
{
    if (this->finished || attempt != this->current) {
        return true;
    }
    if (this->successor && this->holds_events) {
        return attempt->held.append(part);
    }
    if (this->successor) {
        this->drop_successor();
    }
    this->pass_on(part);
    if (this->splitter.is_malformed) {
        this->leave_faulty();
        return true;
    }
    return !this->splitter.is_overlong;
}

void stream_carrier::pass_on(std::string_view bytes)
{
    const std::int64_t events_before = this->splitter.returned_events;
    const std::string events = take_events(this->splitter, bytes);
    this->note_events(this->splitter.returned_events - events_before);
    if (events.empty()) {
        return;
    }
    if (!this->path_at_death.empty()) {
        this->path_at_death.clear();
        this->tools.guard.note_goes_on(this->request.fingerprint);
    }
    const time_point now = event_loop::now();
    std::optional<time_point> last;
    if (this->progress.has_events) {
        last = this->progress.last_event_at;
    }
    note_event(this->context, this->pace, this->request.caller->began, last, now);
    this->progress.has_events = true;
    this->progress.last_event_at = now;
    this->begin_answer();
    this->request.caller->write(events);
}

// An answer that has begun clears the segments of its prompt.
void stream_carrier::note_events(std::int64_t count)
{
    const bool had_begun = this->has_begun();
    this->current->events += count;
    note_arrived(this->context, this->request, *this->current, this->answer_tokens());
    if (!had_begun && this->has_begun()) {
        this->current->trial.reset();
        this->tools.guard.segments().note_answer_begun(this->request.segments);
    }
}

void stream_carrier::attempt_ended(const attempt_pointer& attempt, exchange_end end, bool reused)
{
    if (this->finished) {
        return;
    }
    if (end == exchange_end::withdrawn) {
        --this->sent_count;
        end_attempt(this->context, *attempt);
        this->end_unwanted();
    } else if (attempt == this->successor) {
        this->successor_ended(end);
    } else if (attempt == this->current) {
        this->current_ended(end, reused);
    }
}

void stream_carrier::current_ended(exchange_end end, bool reused)
{
    const time_point now = event_loop::now();
    const hop first = this->current->path.front();
    const bool has_answered = end == exchange_end::complete;
    if (has_answered && (this->current->is_stream || !this->successor)) {
        if (this->successor) {
            this->drop_successor();
        }
        this->answered();
        return;
    }
    if (!has_answered) {
        this->context.channels.forget(first.address);
    }
    if (has_answered && this->current->facts.did_not_run) {
        this->note_refused(*this->current);
    } else if (has_answered) {
        this->maybe_ran = true;
        note_failure(this->context.conditions[first.id], target_failure::faulty, now);
        this->excluded.insert(first.id);
    } else if (end == exchange_end::not_sent) {
        note_failure_of(this->context, first.id, first.started, target_failure::unreachable);
        this->tools.guard.note_unreachable(first.id, first.started);
    } else {
        this->maybe_ran = true;
        this->consider_death(*this->current, first);
        if (!reused || this->current->is_stream) {
            note_failure_of(this->context, first.id, first.started, target_failure::broken);
            this->excluded.insert(first.id);
        }
    }
    if (this->successor) {
        this->take_successor();
    } else if (end == exchange_end::not_sent) {
        this->unconnected();
    } else {
        this->resume("broken");
    }
}

} // namespace internal

void run_stream(entry_context& context, request_tools& tools, stream_gate& gate, accepted_request request)
{
    const auto service = request.config->services.find(request.service);
    if (service == request.config->services.end() || !service->second.engine) {
        refuse_for_now(context, request, "service_without_engines", std::nullopt);
        return;
    }
    context.has_streams = true;
    std::make_shared<internal::stream_carrier>(context, tools, gate, std::move(request))->start();
}

} // namespace dandelionstep
