#include "entry/stream_runner.hpp"

#include "absl/strings/str_cat.h"
#include "adapters/http_text.hpp"
#include "adapters/log.hpp"
#include "entry/path_choice.hpp"
#include "request/event_splitter.hpp"
#include "request/stall_policy.hpp"

#include <algorithm>
#include <set>

namespace dandelionstep {
namespace {

constexpr int status_ok = 200;
constexpr int status_accepted = 202;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;
constexpr int first_success = 200;
constexpr int first_redirect = 300;
constexpr milliseconds connect_timeout{250};
constexpr milliseconds any_idle{60'000};
constexpr int max_unconnected = 3;
// How often a stream's silence is judged.
constexpr milliseconds watch_interval{100};
constexpr milliseconds engine_timeout{350};
// An engine is asked no more often for all the streams together.
constexpr milliseconds ask_interval{100};
// An engine that is short of room gets some back as answers end.
constexpr milliseconds pause_after_refusal{300};
// An engine that was given up by another one is probably dead.
constexpr milliseconds pause_after_stall{2'500};
constexpr milliseconds retry_after_refusal{600};
// Until lost layers are loaded elsewhere.
constexpr milliseconds retry_after_no_path{1'200};
constexpr milliseconds answer_margin{20};
constexpr int max_path_changes = 4;

// A path as it stands in logs: each engine with its layers.
std::string path_text(const std::vector<hop>& path)
{
    std::string text;
    for (const hop& part : path) {
        absl::StrAppend(&text, text.empty() ? "" : ",", part.id.value, "=", part.layers.begin, "-",
                        part.layers.end);
    }
    return text;
}

class stream_runner : public std::enable_shared_from_this<stream_runner> {
public:
    stream_runner(entry_context& context_in, engine_calls& engines_in, accepted_request request_in)
        : context(context_in), engines(engines_in), request(std::move(request_in)),
          service(this->request.config->services.at(this->request.service))
    {
        this->splitter.last_id = this->request.facts.last_event;
        this->limits.gap = std::max(this->limits.gap, this->request.route->gap_objective * 5 / 4);
        this->limits.first_event = std::max(this->limits.first_event, this->request.route->latency_objective);
    }

    void start()
    {
        const std::weak_ptr<stream_runner> watched = this->weak_from_this();
        this->request.caller->on_gone = [self = this->shared_from_this()] { self->caller_gone(); };
        const milliseconds left = this->request.deadline - answer_margin - event_loop::now();
        this->deadline_timer = this->context.loop.run_after(left, [watched] {
            if (const auto self = watched.lock()) {
                self->fail(status_gateway_timeout, "deadline");
            }
        });
        this->watch_timer = this->context.loop.run_every(watch_interval, [watched] {
            if (const auto self = watched.lock()) {
                self->watch();
            }
        });
        this->send_next();
    }

private:
    // One send of the request; answers to earlier ones are no longer looked at.
    struct attempt {
        std::weak_ptr<channel_pool::exchange> exchange;
        http_head head;
        response_facts facts;
        std::string body;
        bool is_stream = false;
    };

    [[nodiscard]] bool is_repeatable() const { return this->request.route->resumable; }

    [[nodiscard]] std::int64_t tokens() const
    {
        const std::int64_t most = this->request.facts.max_answer_tokens.value;
        const std::int64_t expected = std::min(most, this->request.facts.answer_hint.value_or(most));
        return this->request.facts.prompt_tokens.value + expected;
    }

    void send_next()
    {
        const chosen_path chosen = choose_path(this->context, this->service, 0, nullptr, this->excluded);
        if (chosen.hops.empty()) {
            this->give_up("no_path", retry_after_no_path);
            return;
        }
        this->take_path(chosen.hops);
        ++this->sent_count;
        const time_point now = event_loop::now();
        this->progress.sent_at = now;
        this->progress.has_dead_engine = false;
        // A cut event is sent whole again after a resumption.
        this->splitter.pending.clear();
        auto sent = std::make_shared<attempt>();
        this->current = sent;
        forwarding added;
        added.expected = chosen.hops.front().id;
        added.organisation = this->request.organisation;
        added.patience = this->request.deadline - now;
        added.last_event = this->splitter.last_id;
        added.path = chosen.hops;
        added.urgency = std::clamp(this->request.priority, 0, 9);
        const http_head& head = this->request.caller->head;
        const http_headers headers = this->context.dialect.forward_headers(head.headers, added);
        send_options options;
        options.connect_timeout = connect_timeout;
        options.most_idle = any_idle;
        sent->exchange = this->context.channels.send(
            chosen.hops.front().address,
            request_text(head.method, head.target, headers, this->request.caller->body), options,
            this->callbacks_of(sent));
    }

    exchange_callbacks callbacks_of(const std::shared_ptr<attempt>& sent)
    {
        const std::weak_ptr<stream_runner> watched = this->weak_from_this();
        exchange_callbacks callbacks;
        callbacks.is_own = [watched](const http_head& head) {
            const auto self = watched.lock();
            return !self || self->is_own(head);
        };
        callbacks.on_head = [watched, sent](const http_head& head) {
            const auto self = watched.lock();
            if (self && self->current == sent) {
                self->take_head(*sent, head);
            }
        };
        callbacks.on_body = [watched, sent](std::string_view part) {
            const auto self = watched.lock();
            if (self && self->current == sent) {
                self->take_body(*sent, part);
            }
        };
        callbacks.on_end = [watched, sent](exchange_end end, bool reused) {
            const auto self = watched.lock();
            if (self && self->current == sent) {
                self->attempt_ended(*sent, end, reused);
            }
        };
        return callbacks;
    }

    [[nodiscard]] bool is_own(const http_head& head) const
    {
        const response_facts facts = this->context.dialect.read_response(head.status, head.headers);
        return facts.attempt_id.empty() || facts.attempt_id == this->request.facts.attempt_id;
    }

    void take_head(attempt& sent, const http_head& head)
    {
        sent.head = head;
        sent.facts = this->context.dialect.read_response(head.status, head.headers);
        const bool is_success = head.status >= first_success && head.status < first_redirect;
        sent.is_stream = is_success && sent.facts.is_signed && !sent.facts.is_encoded;
        if (sent.is_stream) {
            this->maybe_ran = true;
            if (!this->request.caller->started()) {
                this->request.caller->start(head.status, this->context.dialect.answer_headers(head.headers));
            }
        }
    }

    void take_body(attempt& sent, std::string_view part)
    {
        if (!sent.is_stream) {
            sent.body += part;
            return;
        }
        const std::string events = take_events(this->splitter, part);
        if (events.empty()) {
            return;
        }
        const time_point now = event_loop::now();
        this->note_event(now);
        this->request.caller->write(events);
    }

    void note_event(time_point now)
    {
        if (!this->progress.has_events) {
            this->first_after = now - this->request.caller->began;
            this->context.metrics.first_part["stream"].add(this->first_after);
        } else {
            const milliseconds gap = now - this->progress.last_event_at;
            this->longest_gap = std::max(this->longest_gap, gap);
            constexpr double newest_weight = 0.01;
            this->context.event_gap_ms +=
                newest_weight * (static_cast<double>(gap.count) - this->context.event_gap_ms);
            this->context.metrics.event_gap.add(gap);
        }
        this->progress.has_events = true;
        this->progress.last_event_at = now;
    }

    void attempt_ended(attempt& ended, exchange_end end, bool reused)
    {
        if (this->finished) {
            return;
        }
        const time_point now = event_loop::now();
        const hop first = this->path.front();
        if (end == exchange_end::not_sent) {
            note_failure(this->context.conditions[first.id], target_failure::unreachable, now);
            this->context.channels.forget(first.address);
            this->unconnected();
        } else if (end == exchange_end::broken) {
            this->context.channels.forget(first.address);
            this->maybe_ran = true;
            if (!reused || ended.is_stream) {
                note_failure(this->context.conditions[first.id], target_failure::broken, now);
                this->excluded.insert(first.id);
            }
            this->resume("broken");
        } else {
            this->answered(ended, now);
        }
    }

    void unconnected()
    {
        --this->sent_count;
        if (++this->unconnected_count <= max_unconnected) {
            this->send_next();
        } else {
            this->give_up("unreachable", retry_after_no_path);
        }
    }

    void answered(attempt& ended, time_point now)
    {
        if (ended.is_stream) {
            this->complete(ended, now);
        } else if (ended.facts.did_not_run) {
            this->refused_by_engine(ended, now);
        } else if (this->request.caller->started() || ended.facts.is_encoded ||
                   ended.head.status < first_redirect) {
            // An answer that can't go on with what the caller has, or none of the engine's own.
            this->maybe_ran = true;
            note_failure(this->context.conditions[this->path.front().id], target_failure::faulty, now);
            this->excluded.insert(this->path.front().id);
            this->resume("faulty");
        } else {
            this->deliver_failure(ended);
        }
    }

    void complete(attempt& ended, time_point now)
    {
        for (const hop& part : this->path) {
            note_response(this->context.conditions[part.id], {0}, now);
        }
        // What follows the last whole event belongs to the answer as well.
        this->request.caller->write(this->splitter.pending);
        const target_id first = this->path.front().id;
        this->log_pace();
        this->end_attempt();
        record_request(this->context, this->request, ended.head.status, "answered", first);
        this->request.caller->finish();
    }

    // How the stream went for its caller; streams that were late tell the path that they took.
    void log_pace()
    {
        const bool late = this->first_after > this->request.route->latency_objective ||
                          this->longest_gap > this->request.route->gap_objective;
        ++this->context.metrics.requests["stream"][late ? "late" : "on_time"];
        const time_point now = event_loop::now();
        if (!late || !may_log(this->context.logs, log_weight::failure, now)) {
            return;
        }
        log_event("stream_late", {{"id", this->request.facts.attempt_id},
                                  {"first_ms", this->first_after},
                                  {"longest_gap_ms", this->longest_gap},
                                  {"sent", this->sent_count},
                                  {"path_changes", this->path_changes},
                                  {"path", path_text(this->path)}});
    }

    void deliver_failure(attempt& ended)
    {
        const target_id first = this->path.front().id;
        this->end_attempt();
        record_request(this->context, this->request, ended.head.status, "failed_by_target", first);
        this->request.caller->answer(ended.head.status,
                                     this->context.dialect.answer_headers(ended.head.headers), ended.body);
    }

    // The engine at fault is named by the refusal; the first one if not.
    void refused_by_engine(attempt& ended, time_point now)
    {
        target_id at_fault = this->path.front().id;
        for (const hop& part : this->path) {
            if (ended.facts.at_fault && part.address == *ended.facts.at_fault) {
                at_fault = part.id;
            }
        }
        note_refusal(this->context.conditions[at_fault], pause_after_refusal, now);
        this->excluded.insert(at_fault);
        if (may_log(this->context.logs, log_weight::failure, now)) {
            log_event("refused_by_engine", {{"id", this->request.facts.attempt_id},
                                            {"status", ended.head.status},
                                            {"target", this->path.front().id.value},
                                            {"at_fault", at_fault.value}});
        }
        if (this->may_send_again("refused")) {
            this->send_next();
        } else {
            this->give_up("refused_by_engine", retry_after_refusal);
        }
    }

    bool may_send_again(const char* reason)
    {
        if (this->sent_count >= this->request.route->max_attempts ||
            !take_retry(budget_of(this->context, this->request.service))) {
            return false;
        }
        ++this->context.metrics.retries[reason];
        return true;
    }

    // Goes on after the last event that was passed on, on another path.
    void resume(const char* reason)
    {
        const std::string left = path_text(this->path);
        this->end_exchange();
        if (this->is_repeatable() && this->may_send_again(reason)) {
            log_event("stream_resumed", {{"id", this->request.facts.attempt_id},
                                         {"reason", reason},
                                         {"left", left},
                                         {"after_event", this->splitter.last_id.value_or(0)},
                                         {"attempt", this->sent_count}});
            this->send_next();
            return;
        }
        this->fail(status_bad_gateway, reason);
    }

    void watch()
    {
        if (this->finished || this->path.empty()) {
            return;
        }
        const time_point now = event_loop::now();
        this->progress.has_dead_engine = this->find_dead_engine(now).has_value();
        switch (next_stall_step(this->progress, this->limits, now)) {
        case stall_step::wait:
            return;
        case stall_step::ask_engine:
            this->ask_engine(now);
            return;
        case stall_step::change_path:
            this->change_path(*this->find_dead_engine(now));
            return;
        case stall_step::resume_elsewhere:
            this->give_path_up(now);
            return;
        }
    }

    // An engine of the path that other streams, or this one's first engine, found not to answer.
    [[nodiscard]] std::optional<target_id> find_dead_engine(time_point now) const
    {
        for (const hop& part : this->path) {
            const auto found = this->context.conditions.find(part.id);
            if (found != this->context.conditions.end() && found->second.failures_in_a_row > 0 &&
                !is_usable(found->second, now)) {
                return part.id;
            }
        }
        return std::nullopt;
    }

    void ask_engine(time_point now)
    {
        this->progress.asked_at = now;
        const hop first = this->path.front();
        // One of the streams that enter there asks for all: what it learns of a dead engine, the others see.
        target_condition& condition = this->context.conditions[first.id];
        if (now - condition.asked_at < ask_interval) {
            return;
        }
        condition.asked_at = now;
        const std::weak_ptr<stream_runner> watched = this->weak_from_this();
        this->engines.ask_report(first.id, first.address, engine_timeout,
                                 [watched, first](const std::optional<engine_report>& report) {
                                     const auto self = watched.lock();
                                     if (self && !self->finished && !self->path.empty() &&
                                         self->path.front() == first) {
                                         self->take_report(report);
                                     }
                                 });
    }

    void take_report(const std::optional<engine_report>& report)
    {
        const time_point now = event_loop::now();
        if (!report) {
            note_failure(this->context.conditions[this->path.front().id], target_failure::silent, now);
            this->change_path(this->path.front().id);
            return;
        }
        for (const stalled_request& stalled : report->stalled) {
            if (stalled.attempt_id != this->request.facts.attempt_id) {
                continue;
            }
            for (const hop& part : this->path) {
                if (part.address == stalled.at_fault) {
                    note_failure(this->context.conditions[part.id], target_failure::silent, now);
                    note_refusal(this->context.conditions[part.id], pause_after_stall, now);
                    this->change_path(part.id);
                    return;
                }
            }
        }
    }

    void give_path_up(time_point now)
    {
        if (!this->is_repeatable() || this->sent_count >= this->request.route->max_attempts) {
            return;
        }
        log_event("stream_silent",
                  {{"id", this->request.facts.attempt_id},
                   {"target", this->path.front().id.value},
                   {"ms", now - std::max(this->progress.sent_at, this->progress.last_event_at)}});
        this->resume("silence");
    }

    void change_path(const target_id& dead)
    {
        this->excluded.insert(dead);
        const hop first = this->path.front();
        if (first.id == dead || this->path_changes >= max_path_changes || !this->current->is_stream) {
            if (this->is_repeatable() && this->sent_count < this->request.route->max_attempts) {
                this->resume("dead_engine");
            }
            return;
        }
        ++this->path_changes;
        std::set<target_id> others = this->excluded;
        others.insert(first.id);
        chosen_path rest = choose_path(this->context, this->service, first.layers.end, &first, others);
        if (rest.hops.empty() && first.layers.end < this->service.engine->layers) {
            return;
        }
        rest.hops.insert(rest.hops.begin(), first);
        log_event("path_changed", {{"id", this->request.facts.attempt_id},
                                   {"dead", dead.value},
                                   {"silent_ms", event_loop::now() - std::max(this->progress.sent_at,
                                                                              this->progress.last_event_at)},
                                   {"path", path_text(rest.hops)}});
        this->take_path(rest.hops);
        this->progress.sent_at = event_loop::now();
        this->order_path(first);
    }

    void order_path(const hop& first)
    {
        const std::weak_ptr<stream_runner> watched = this->weak_from_this();
        const outgoing_call call =
            this->context.dialect.repath_call(first.id, this->request.facts.attempt_id, this->path);
        this->engines.send(first.address, call, engine_timeout, [watched](const engine_answer& answer) {
            const auto self = watched.lock();
            if (!self || self->finished) {
                return;
            }
            const bool accepted = answer.status == status_ok || answer.status == status_accepted;
            ++self->context.metrics.orders[accepted ? "path_accepted" : "path_failed"];
            if (!accepted) {
                log_event("path_change_failed",
                          {{"id", self->request.facts.attempt_id}, {"status", answer.status}});
                self->resume("path_change_failed");
            }
        });
    }

    void take_path(const std::vector<hop>& hops)
    {
        this->leave_path();
        this->path = hops;
        occupy_path(this->context, this->path, this->tokens());
    }

    void leave_path()
    {
        release_path(this->context, this->path, this->tokens());
        this->path.clear();
    }

    void end_exchange()
    {
        if (this->current) {
            this->context.channels.cancel(this->current->exchange);
            this->current.reset();
        }
        this->leave_path();
    }

    void end_attempt()
    {
        this->finished = true;
        this->deadline_timer = {};
        this->watch_timer = {};
        this->end_exchange();
    }

    // Ends a request of which nothing ran with a refusal, and any other as failed.
    void give_up(std::string_view reason, milliseconds retry_after)
    {
        if (this->maybe_ran) {
            this->fail(status_bad_gateway, reason);
            return;
        }
        this->end_attempt();
        refuse(this->context, this->request, status_unavailable, reason, retry_after);
    }

    void fail(int status, std::string_view reason)
    {
        if (this->finished) {
            return;
        }
        this->end_attempt();
        if (this->request.caller->started()) {
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

    void caller_gone()
    {
        if (!this->finished) {
            this->end_attempt();
            record_request(this->context, this->request, 0, "caller_gone", {});
        }
    }

    entry_context& context;
    engine_calls& engines;
    accepted_request request;
    const entry_service& service;
    event_splitter splitter;
    stream_progress progress;
    stall_limits limits;
    std::shared_ptr<attempt> current;
    std::vector<hop> path;
    std::set<target_id> excluded;
    // From the request's first byte to its first event, and the longest silence between two events.
    milliseconds first_after{0};
    milliseconds longest_gap{0};
    int sent_count = 0;
    int unconnected_count = 0;
    int path_changes = 0;
    bool maybe_ran = false;
    bool finished = false;
    event_loop::timer deadline_timer;
    event_loop::timer watch_timer;
};

} // namespace

void run_stream(entry_context& context, engine_calls& engines, accepted_request request)
{
    const auto service = request.config->services.find(request.service);
    if (service == request.config->services.end() || !service->second.engine) {
        refuse(context, request, status_unavailable, "service_without_engines", retry_after_no_path);
        return;
    }
    context.has_streams = true;
    std::make_shared<stream_runner>(context, engines, std::move(request))->start();
}

} // namespace dandelionstep
