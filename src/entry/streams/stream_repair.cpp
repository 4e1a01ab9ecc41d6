#include "adapters/log.hpp"
#include "entry/engines/engine_calls.hpp"
#include "entry/registry/target_notices.hpp"
#include "entry/streams/internal/stream_carrier.hpp"

#include <algorithm>

namespace dandelionstep::internal {
namespace {

constexpr milliseconds engine_timeout{350};
// An engine is asked no more often for all the streams together.
constexpr milliseconds ask_interval{100};
// An engine that was given up by another one is probably dead.
constexpr milliseconds pause_after_stall{2'500};
// Shares of the drain time after which streams move off an engine that leaves. They spread, so that the
// engines that take them over need not read all their prompts at once, and most short ones end before.
constexpr double earliest_move = 0.1;
constexpr double latest_move = 0.6;
// How long events are held back for a successor; a caller whose stream moves must not notice.
constexpr milliseconds longest_hold{120};

} // namespace

milliseconds stream_carrier::silence(time_point now) const
{
    return now - std::max(this->progress.sent_at, this->progress.last_event_at);
}

// An event that came before the present path was taken tells nothing of the engines that joined it.
time_point stream_carrier::last_event_through(const target_id& engine) const
{
    const bool is_on_path =
        !this->finished && this->current && this->progress.last_event_at > this->progress.sent_at &&
        std::ranges::find(this->current->path, engine, &hop::id) != this->current->path.end();
    return is_on_path ? this->progress.last_event_at : time_point{0};
}

// False when the stream has ended.
bool stream_carrier::watch(time_point now)
{
    if (this->finished || !this->current || this->current->ended) {
        return !this->finished;
    }
    if (!this->is_witness) {
        this->is_witness = true;
        this->tools.probes.add_witness(this->weak_from_this());
    }
    if (this->successor && this->holds_events && now - this->succession_began > longest_hold) {
        this->drop_successor();
    }
    const std::optional<target_id> dead = this->find_dead_engine(now);
    this->progress.has_dead_engine = dead.has_value() && !this->successor && now >= this->next_change_at;
    const entry_route& route = *this->request.route;
    // A stream on a slow path is not silent each time that it waits for longer than others.
    const double gap_ms = std::max(this->context.event_gap_ms, this->pace.mean_gap_ms);
    const milliseconds usual_gap{static_cast<std::int64_t>(gap_ms)};
    const stall_limits limits = stall_limits_for(route.latency_objective, route.gap_objective, usual_gap);
    switch (next_stall_action(this->progress, limits, now)) {
    case stall_action::wait:
        this->watch_leaving(now);
        break;
    case stall_action::probe_path:
        this->probe_path(usual_gap, now);
        break;
    case stall_action::ask_engine:
        if (this->is_only_slow(usual_gap, now)) {
            this->probe_path(usual_gap, now);
        } else {
            this->ask_engine(now);
        }
        break;
    case stall_action::change_path:
        this->replace_engine(*dead, false);
        break;
    case stall_action::resume_elsewhere:
        this->give_path_up(now);
        break;
    }
    return !this->finished;
}

// Where the usual gap is longer than the silence after which engines are asked, an event within most of that
// gap tells as much.
void stream_carrier::probe_path(milliseconds usual_gap, time_point now)
{
    const milliseconds telling = std::max(this->silence(now), usual_gap * 3 / 4);
    this->tools.probes.ask(this->current->path, now - telling);
}

// Where all streams are slow, a gap that exceeds the objective is no sign that the request is stuck, as long
// as events of others come through each engine of its path.
bool stream_carrier::is_only_slow(milliseconds usual_gap, time_point now)
{
    constexpr std::int64_t usual_gaps = 2;
    const milliseconds silent_for = this->silence(now);
    return silent_for < usual_gap * usual_gaps &&
           this->tools.probes.are_heard(this->current->path, now - silent_for);
}

// Engines that die together are found one after the other: those of a path count as one death, until the
// stream has gone on or has lost an engine that joined it since.
void stream_carrier::consider_death(const stream_attempt& attempt, const hop& lost)
{
    if (std::ranges::find(this->path_at_death, lost) != this->path_at_death.end()) {
        return;
    }
    this->path_at_death = this->current->path;
    if (this->successor) {
        std::ranges::copy(this->successor->path, std::back_inserter(this->path_at_death));
    }
    const crash_place place{token_count{this->splitter.last_id.value_or(0)}, layer_index{0}};
    this->tools.guard.note_lost({lost.id, lost.started, this->request.fingerprint, place,
                                 this->request.facts.attempt_id, this->request.segments, attempt.events,
                                 attempt.trial != nullptr});
}

bool stream_carrier::is_held() const
{
    if (this->tools.guard.held_for(this->request.fingerprint) > milliseconds{0}) {
        return true;
    }
    return this->tools.guard.segments().verdict(this->request.service, this->request.segments).permission ==
           segment_permission::refused;
}

bool stream_carrier::is_checking() const
{
    return this->tools.guard.is_checking(this->request.fingerprint) ||
           this->tools.guard.segments().verdict(this->request.service, this->request.segments).permission ==
               segment_permission::wait;
}

// An engine of the path that other streams, or this one's first engine, found not to answer.
std::optional<target_id> stream_carrier::find_dead_engine(time_point now) const
{
    for (const hop& part : this->current->path) {
        const target_condition& condition = condition_of(this->context.conditions, part.id);
        if (condition.is_unresponsive || (condition.consecutive_failures > 0 && !is_usable(condition, now))) {
            return part.id;
        }
    }
    return std::nullopt;
}

// The first engine of the path that leaves, is registered no more, or was ordered to hold other layers: it
// loads those only once no stream passes through the ones that it gives up.
std::optional<target_id> stream_carrier::find_leaving_engine() const
{
    const std::vector<hop>& path = this->current->path;
    const auto found =
        std::ranges::find_if_not(path, [this](const hop& part) { return is_offered(this->context, part); });
    return found == path.end() ? std::nullopt : std::optional(found->id);
}

// Moves the stream off an engine that leaves while that still works, so that its caller notices nothing.
void stream_carrier::watch_leaving(time_point now)
{
    const std::optional<target_id> leaving = this->find_leaving_engine();
    if (!leaving) {
        this->move_at = never;
        return;
    }
    if (this->move_at == never) {
        const double share = earliest_move + (latest_move - earliest_move) * this->context.draw();
        const auto drain_ms = static_cast<double>(this->context.settings.drain_time.count);
        this->move_at = now + milliseconds{static_cast<std::int64_t>(share * drain_ms)};
    } else if (now >= this->move_at) {
        this->move_at = now + pause_without_path;
        this->replace_engine(*leaving, true);
    }
}

void stream_carrier::ask_engine(time_point now)
{
    this->progress.asked_at = now;
    const hop first = this->current->path.front();
    // One of the streams that enter there asks for all: what it learns of a dead engine, the others see.
    target_condition& condition = this->context.conditions[first.id];
    if (now - condition.asked_at < ask_interval) {
        return;
    }
    condition.asked_at = now;
    const std::weak_ptr<stream_carrier> watched = this->weak_from_this();
    const auto take = [watched, first](const std::optional<engine_report>& report) {
        const auto self = watched.lock();
        if (self && !self->finished && !self->current->ended && self->current->path.front() == first) {
            self->take_report(report);
        }
    };
    ++this->context.metrics.probes["stalled_stream"];
    ask_report(this->context, first.id, first.address, engine_timeout, take);
}

void stream_carrier::take_report(const std::optional<engine_report>& report)
{
    const time_point now = event_loop::now();
    if (!report) {
        const target_id first = this->current->path.front().id;
        note_failure(this->context.conditions[first], target_failure::silent, now);
        this->replace_engine(first, false);
        return;
    }
    for (const stalled_request& stalled : report->stalled) {
        if (stalled.attempt_id != this->request.facts.attempt_id) {
            continue;
        }
        for (const hop& part : this->current->path) {
            if (part.address == stalled.at_fault) {
                note_failure_of(this->context, part.id, part.started, target_failure::silent);
                if (may_run(this->context, part.id, part.started)) {
                    note_refusal(this->context.conditions[part.id], pause_after_stall, now);
                }
                this->replace_engine(part.id, false);
                return;
            }
        }
    }
}

// The caller will soon give the stream up. While no other path accepts it the engines may still go on: a
// silence alone ends no stream.
void stream_carrier::give_path_up(time_point now)
{
    if (this->successor || now < this->next_change_at) {
        return;
    }
    this->next_change_at = now + pause_without_path;
    if (may_log(this->context.logs, log_weight::failure, now)) {
        log_event("stream_silent", {{"id", this->request.facts.attempt_id},
                                    {"target", this->current->path.front().id.value},
                                    {"ms", this->silence(now)}});
    }
    this->begin_succession("silence", this->elsewhere_wish(), false);
}

// Sends the request once more, to go on after the last event that was passed on. The current attempt stays
// until the new one is accepted, so that a refusal costs the caller nothing.
void stream_carrier::begin_succession(const char* reason, const path_wish& wish, bool holds)
{
    if (this->successor || !this->is_repeatable() || !this->is_wanted() || this->is_held() ||
        this->is_checking()) {
        return;
    }
    const time_point now = event_loop::now();
    this->next_change_at = now + pause_without_path;
    std::vector<hop> chosen = choose_path(this->context, wish);
    if (chosen.empty()) {
        chosen = choose_path(this->context, this->last_wish(this->current->path.front().id));
        this->take_back(chosen);
    }
    if (chosen.empty() || !this->may_resume(reason)) {
        return;
    }
    this->succession_reason = reason;
    this->succession_began = now;
    this->holds_events = holds;
    this->successor = this->send_along(chosen);
}

void stream_carrier::succeed()
{
    this->log_resumed(this->succession_reason);
    this->take_successor();
    this->move_at = never;
}

// The successor goes on after the last event that was passed on: a cut event is sent whole again, and what
// was held is made anew.
void stream_carrier::take_successor()
{
    end_attempt(this->context, *this->current);
    this->current = std::move(this->successor);
    this->successor.reset();
    discard_partial_event(this->splitter);
    this->progress.sent_at = event_loop::now();
}

// The current attempt goes on; what it brought meanwhile is passed on.
void stream_carrier::drop_successor()
{
    end_attempt(this->context, *this->successor);
    this->successor.reset();
    this->pass_on(this->current->held.take());
}

void stream_carrier::successor_ended(exchange_end end)
{
    const time_point now = event_loop::now();
    const hop first = this->successor->path.front();
    if (end != exchange_end::complete) {
        this->context.channels.forget(first.address);
        const bool unreachable = end == exchange_end::not_sent;
        this->sent_count -= unreachable ? 1 : 0;
        note_failure_of(this->context, first.id, first.started,
                        unreachable ? target_failure::unreachable : target_failure::broken);
        if (unreachable) {
            this->tools.guard.note_unreachable(first.id, first.started);
        } else {
            this->consider_death(*this->successor, first);
        }
    } else if (this->successor->facts.did_not_run) {
        this->note_refused(*this->successor);
    } else {
        note_failure(this->context.conditions[first.id], target_failure::faulty, now);
    }
    this->excluded.insert(first.id);
    this->next_change_at = now;
    this->drop_successor();
}

} // namespace dandelionstep::internal
