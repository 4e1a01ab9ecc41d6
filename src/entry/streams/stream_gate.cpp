#include "entry/streams/stream_gate.hpp"

#include "adapters/log.hpp"
#include "entry/streams/stream_attempt.hpp"
#include "route/layer_path.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

// How often a path is planned for the first stream in the queue. A daemon may have less than a tenth of a
// core.
constexpr milliseconds poll_interval{100};
// The waiting requests may take one part in so many of the vm's memory.
constexpr std::size_t memory_per_queue = 16;
constexpr std::size_t bytes_per_mb = std::size_t{1024} * 1024;
// Part by which Retry-After is extended at random, so that refused callers don't all come back at once.
constexpr double retry_spread = 0.2;
// Another daemon takes the request at once.
constexpr milliseconds retry_after_stop{50};
constexpr double percent = 100;

double mean_tokens(const engine_profile& profile)
{
    return std::max(1.0, profile.mean_prompt_tokens + profile.mean_answer_tokens);
}

// Uses of KV cache count what streams need when they are complete. On average they hold their prompt and half
// of their answer; half of that difference is left as a margin, as engines are not loaded evenly.
double kv_cache_scale(const engine_profile& profile)
{
    constexpr double counted_part = 0.25;
    return 1 - counted_part * profile.mean_answer_tokens / mean_tokens(profile);
}

// The highest share of an engine's KV cache on the path that so many tokens take.
double share_of_tokens(const entry_context& context, const engine_profile& profile,
                       const std::vector<hop>& path, double tokens)
{
    double share = 0;
    for (const hop& part : path) {
        const auto target = context.targets.find(part.id);
        const accelerator_kind* kind =
            target == context.targets.end() ? nullptr : find_kind(profile, target->second.kind);
        if (kind == nullptr) {
            continue;
        }
        const std::int64_t held = target->second.layers.size();
        const double room = kv_cache_tokens(profile, *kind, held) * static_cast<double>(held);
        if (room > 0) {
            share = std::max(share, tokens * static_cast<double>(part.layers.size()) / room);
        }
    }
    return share;
}

std::int64_t to_percent(double share)
{
    return static_cast<std::int64_t>(share * percent);
}

} // namespace

stream_gate::stream_gate(entry_context& context_in) : context(context_in)
{
    const auto memory = static_cast<std::size_t>(std::max<std::int64_t>(1, context_in.settings.memory_mb));
    this->bounds.bytes = memory * bytes_per_mb / memory_per_queue;
}

void stream_gate::enter(const accepted_request& request, gated_stream stream, std::uint64_t& number)
{
    const time_point now = event_loop::now();
    const entry_route& route = *request.route;
    number = ++this->last_number;
    held_stream held;
    held.service = request.service;
    held.attempt_id = request.facts.attempt_id;
    held.callbacks = std::move(stream);
    held.entered = now;
    held.tokens = static_cast<double>(tokens_of(request.facts));
    held.request.id = number;
    held.request.priority = request.priority;
    held.request.organisation = request.organisation.value_or(organisation_id());
    held.request.began = request.caller->began;
    held.request.leaves_at = std::min(
        request.deadline, leaving_time(request.caller->began, route.latency_objective, route.gap_objective));
    held.request.latency_objective = route.latency_objective;
    held.request.gap_objective = route.gap_objective;
    const entry_service& service = request.config->services.at(request.service);
    held.request.cost = std::max(1.0, held.tokens) / mean_tokens(*service.engine);
    held.request.bytes = request.caller->body.size();
    const admission_request& asked = this->streams.emplace(number, std::move(held)).first->second.request;
    stream_admission& state = this->states[request.service];
    note_arrival(state, asked, now);
    if (!this->context.stop && waits_behind_others(state, asked, now)) {
        this->wait(number, decide_wait(state, asked, admission_reason::others_wait, now), {});
        return;
    }
    planned_path planned = this->plan(this->streams.at(number));
    const admission_decision decision =
        decide_arrival(state, asked, planned.inputs, this->context.draw(), now);
    if (decision.action == admission_action::send) {
        this->let_through(number, std::move(planned), decision);
    } else {
        this->wait(number, decision, planned.inputs);
    }
}

stream_gate::planned_path stream_gate::plan(const held_stream& held)
{
    planned_path planned;
    const path_wish wish = held.callbacks.wish();
    planned.estimate = plan_path(this->context, wish);
    const path_estimate& estimate = planned.estimate;
    const double beyond_mean = held.tokens - mean_tokens(*wish.service->engine);
    planned.inputs.exists = !estimate.path.empty();
    const double scale = kv_cache_scale(*wish.service->engine);
    planned.inputs.use = std::max(scale * estimate.use, estimate.entry_use);
    if (beyond_mean > 0) {
        planned.inputs.excess =
            scale * share_of_tokens(this->context, *wish.service->engine, estimate.path, beyond_mean);
    }
    planned.inputs.first_event = estimate.first_event;
    planned.inputs.event_gap = estimate.event_gap;
    return planned;
}

// Puts a stream into the queue, or refuses it if waiting is of no use.
void stream_gate::wait(std::uint64_t number, const admission_decision& decision, const admission_path& path)
{
    held_stream& held = this->streams.at(number);
    if (this->context.stop) {
        this->refuse(number, "stopping", retry_after_stop);
        return;
    }
    if (decision.action == admission_action::refuse) {
        this->refuse(number, decision);
        return;
    }
    const time_point now = event_loop::now();
    stream_admission& state = this->states[held.service];
    held.is_waiting = true;
    ++this->context.metrics.admission_waits[std::to_string(held.request.priority)];
    if (may_log(this->context.logs, log_weight::failure, now)) {
        log_event("admission_wait", {{"id", held.attempt_id},
                                     {"reason", name_of(decision.reason)},
                                     {"priority", held.request.priority},
                                     {"organisation", held.request.organisation.value},
                                     {"use_percent", to_percent(path.use)},
                                     {"limit_percent", to_percent(decision.limit)},
                                     {"gap_ms", path.event_gap},
                                     {"first_ms", path.first_event},
                                     {"waiting", static_cast<std::int64_t>(state.waiting.size())}});
    }
    const std::optional<admission_request> evicted = enqueue(state, held.request, this->bounds);
    if (evicted) {
        this->refuse(evicted->id, {admission_action::refuse, admission_reason::queue_full,
                                   retry_after_for(state, *evicted, now), 0});
    }
    this->schedule();
}

void stream_gate::let_through(std::uint64_t number, planned_path planned, const admission_decision& decision)
{
    held_stream& held = this->streams.at(number);
    const time_point now = event_loop::now();
    stream_admission& state = this->states[held.service];
    dequeue(state, number);
    note_sent(state, held.request, now);
    if (held.is_waiting) {
        held.is_waiting = false;
        const milliseconds waited = now - held.entered;
        this->context.metrics.admission_wait_ms[std::to_string(held.request.priority)] += waited.count;
        if (may_log(this->context.logs, log_weight::failure, now)) {
            log_event("admission_sent", {{"id", held.attempt_id},
                                         {"reason", name_of(decision.reason)},
                                         {"waited_ms", waited},
                                         {"priority", held.request.priority},
                                         {"organisation", held.request.organisation.value},
                                         {"use_percent", to_percent(planned.inputs.use)},
                                         {"limit_percent", to_percent(decision.limit)},
                                         {"gap_ms", planned.inputs.event_gap},
                                         {"first_ms", planned.inputs.first_event},
                                         {"waiting", static_cast<std::int64_t>(state.waiting.size())}});
        }
    }
    this->update_gauges();
    // The callback may end this stream and begin others.
    const auto send = held.callbacks.send;
    send(std::move(planned.estimate.path));
}

void stream_gate::refuse(std::uint64_t number, const admission_decision& decision)
{
    const auto spread = static_cast<double>(decision.retry_after.count) * retry_spread * this->context.draw();
    this->refuse(number, name_of(decision.reason),
                 decision.retry_after + milliseconds{static_cast<std::int64_t>(spread)});
}

void stream_gate::refuse(std::uint64_t number, std::string_view reason, milliseconds retry_after)
{
    const auto found = this->streams.find(number);
    if (found == this->streams.end()) {
        return;
    }
    const held_stream held = std::move(found->second);
    this->streams.erase(found);
    const time_point now = event_loop::now();
    stream_admission& state = this->states[held.service];
    dequeue(state, number);
    ++this->context.metrics.admission_refusals[std::string(reason)][std::to_string(held.request.priority)];
    if (may_log(this->context.logs, log_weight::failure, now)) {
        log_event("admission_refused", {{"id", held.attempt_id},
                                        {"reason", reason},
                                        {"waited_ms", now - held.entered},
                                        {"priority", held.request.priority},
                                        {"organisation", held.request.organisation.value},
                                        {"left_ms", held.request.leaves_at - now},
                                        {"first_ms", state.first_event},
                                        {"waiting", static_cast<std::int64_t>(state.waiting.size())},
                                        {"retry_after_ms", retry_after}});
    }
    this->update_gauges();
    held.callbacks.refuse(reason, retry_after);
}

void stream_gate::put_back(std::uint64_t number)
{
    held_stream& held = this->streams.at(number);
    stream_admission& state = this->states[held.service];
    note_refused(state, held.request);
    const time_point now = event_loop::now();
    held.entered = now;
    // Engines that are full now are so a moment later, too.
    held.request.not_due_before = now + poll_interval;
    this->wait(number, decide_wait(state, held.request, admission_reason::engine_refused, now), {});
}

void stream_gate::leave(std::uint64_t number)
{
    const auto found = this->streams.find(number);
    if (found == this->streams.end()) {
        return;
    }
    const held_stream held = std::move(found->second);
    this->streams.erase(found);
    stream_admission& state = this->states[held.service];
    if (held.is_waiting) {
        dequeue(state, number);
    } else {
        note_ended(state, held.request);
        if (!state.waiting.empty()) {
            this->poll_at(event_loop::now());
        }
    }
    this->update_gauges();
}

void stream_gate::poll()
{
    if (!this->context.queues_streams()) {
        this->release_all();
    } else if (this->context.stop) {
        this->end_waits_for_stop();
    } else {
        std::vector<service_id> services;
        for (const auto& [service, state] : this->states) {
            services.push_back(service);
        }
        for (const service_id& service : services) {
            this->poll_service(service);
        }
    }
    this->schedule();
}

void stream_gate::poll_service(const service_id& service)
{
    const time_point now = event_loop::now();
    stream_admission& state = this->states[service];
    for (const admission_refusal& each : overdue(state, now)) {
        this->refuse(each.id, each.decision);
    }
    // Only the first one is planned for; each further one after one that was sent.
    while (const admission_request* first = first_waiting(state, now)) {
        planned_path planned = this->plan(this->streams.at(first->id));
        const admission_decision decision =
            decide_first(state, *first, planned.inputs, this->context.draw(), now);
        if (decision.action != admission_action::send) {
            return;
        }
        this->let_through(first->id, std::move(planned), decision);
    }
}

// The configuration no longer calls for load control.
void stream_gate::release_all()
{
    for (auto& [service, state] : this->states) {
        while (const admission_request* first = first_waiting(state, event_loop::now())) {
            this->let_through(first->id, {}, {});
        }
    }
}

// A stopping daemon holds nothing: what fits is sent, and another daemon takes the rest.
void stream_gate::end_waits_for_stop()
{
    for (auto& [service, state] : this->states) {
        while (const admission_request* first = first_waiting(state, event_loop::now())) {
            planned_path planned = this->plan(this->streams.at(first->id));
            if (planned.inputs.exists && planned.inputs.use <= 1) {
                this->let_through(first->id, std::move(planned), {});
            } else {
                this->refuse(first->id, "stopping", retry_after_stop);
            }
        }
    }
}

void stream_gate::poll_at(time_point due)
{
    if (due >= this->timer_due) {
        return;
    }
    this->timer_due = due;
    this->timer = this->context.loop.run_at(due, [this] {
        this->timer_due = never;
        this->poll();
    });
}

void stream_gate::schedule()
{
    const time_point now = event_loop::now();
    for (const auto& [service, state] : this->states) {
        if (!state.waiting.empty()) {
            this->poll_at(std::max(now, std::min(now + poll_interval, next_due(state))));
        }
    }
    this->update_gauges();
}

void stream_gate::update_gauges()
{
    std::int64_t waiting = 0;
    std::int64_t bytes = 0;
    for (const auto& [service, state] : this->states) {
        waiting += static_cast<std::int64_t>(state.waiting.size());
        bytes += static_cast<std::int64_t>(state.waiting_bytes);
    }
    this->context.metrics.gauges["admission_waiting"] = waiting;
    this->context.metrics.gauges["admission_waiting_bytes"] = bytes;
}

} // namespace dandelionstep
