#include "daemon/generation_runner.hpp"

#include "absl/strings/str_cat.h"
#include "adapters/log.hpp"
#include "common/hash.hpp"
#include "daemon/answers.hpp"
#include "daemon/chain_queries.hpp"
#include "daemon/completion_format.hpp"
#include "request/repair_chain.hpp"
#include "route/choose_chain.hpp"

#include <vector>

namespace dandelionstep {
namespace {

constexpr milliseconds tick_interval{20};
constexpr std::string_view kind = "generation";

// Leaving targets stay left alone; those that only failed may be tried again.
health_map without_ejections(health_map health, ejected_targets ejected)
{
    for (auto& [id, state] : health) {
        if (ejected == ejected_targets::use || state.consecutive_failures <= 1) {
            state.ejected_until = time_point{INT64_MIN / 2};
        }
    }
    return health;
}

} // namespace

struct generation_runner::running_generation {
    generation_state state;
    std::shared_ptr<caller_reply> reply;
    bool streamed = false;
    http_client::handle stream;
    //! Runs while a failure is held back for the crash guard.
    event_loop::timer pause;
    time_point began;
    time_point first_token;
    //! The chain whose targets count this request as in flight.
    std::optional<chain> counted;

    [[nodiscard]] finished_request finished(outcome result, std::optional<error_code> refused) const
    {
        const generation_request& request = this->state.request;
        return {kind,
                request.id,
                request.organisation,
                request.model.value,
                result,
                refused,
                {this->first_token - this->began, event_loop::now() - this->began,
                 static_cast<std::int64_t>(this->state.tokens.size())}};
    }
};

generation_runner::generation_runner(daemon_context& context) : context(context)
{
    this->ticker = context.loop.run_every(tick_interval, [this] { this->tick(); });
}

generation_runner::~generation_runner() = default;

void generation_runner::start(generation_request request, bool streamed,
                              const std::shared_ptr<caller_reply>& reply)
{
    auto generation = std::make_shared<running_generation>();
    generation->state.limits.token_gap = this->context.configured.token_gap;
    generation->state.limits.first_token_gap = this->context.configured.first_token_gap;
    generation->state.limits.max_attempts = this->context.configured.max_attempts;
    generation->state.request = std::move(request);
    generation->reply = reply;
    generation->began = event_loop::now();
    generation->streamed = streamed;
    this->generations.emplace(generation->state.request.id.value, generation);
    ++this->context.requests_in_flight;
    note_request(this->context.retries);
    reply->on_gone([this, watch = std::weak_ptr(generation)] {
        if (const running_ptr gone = watch.lock()) {
            log_event("caller_gone", {{"request", gone->state.request.id.value}});
            this->handle(gone, caller_gone{});
        }
    });
    this->handle(generation, generation_started{});
}

void generation_runner::receive(const running_ptr& generation, const generation_event& event)
{
    if (const auto* failure = std::get_if<attempt_failed>(&event)) {
        const milliseconds pause = this->guard.note_failure(generation->state, *failure);
        if (pause.count > 0) {
            generation->pause =
                this->context.loop.run_after(pause, [this, watch = std::weak_ptr(generation), event] {
                    if (const running_ptr alive = watch.lock()) {
                        this->handle(alive, event);
                    }
                });
            return;
        }
    }
    this->handle(generation, event);
}

void generation_runner::handle(const running_ptr& generation, const generation_event& event)
{
    generation_state& state = generation->state;
    if (state.finished) {
        return;
    }
    if (const auto* failure = std::get_if<attempt_failed>(&event)) {
        log_event("attempt_failed", {{"request", state.request.id.value},
                                     {"attempt", failure->attempt.value},
                                     {"failure", to_string(failure->failure)},
                                     {"target", failure->culprit ? failure->culprit->value : ""}});
    }
    const time_point now = event_loop::now();
    const std::int64_t dropped_before = state.dropped_answers;
    const chain_source chains = [&](const chain_requirements& wish) -> absl::StatusOr<chain> {
        if (next_is_retry(state) && !may_retry(this->context.retries)) {
            return absl::UnavailableError("the retry budget is spent");
        }
        return this->guard.choose(state.request, wish.excluded, [&](const std::set<target_id>& avoided) {
            chain_requirements narrowed = wish;
            narrowed.excluded = avoided;
            return this->choose(state.request, narrowed, now);
        });
    };
    const std::vector<generation_action> actions = advance(state, event, chains, now);
    this->context.counters.answers_dropped += state.dropped_answers - dropped_before;
    for (const generation_action& action : actions) {
        std::visit([&](const auto& each) { this->perform(generation, each); }, action);
    }
    this->guard.note_progress(state);
    if (state.finished) {
        this->release_chain(*generation);
        this->generations.erase(state.request.id.value);
        --this->context.requests_in_flight;
        if (this->on_finished) {
            this->on_finished(state, !actions.empty() && std::holds_alternative<deliver_end>(actions.back()));
        }
    }
}

absl::StatusOr<chain> generation_runner::choose(const generation_request& request,
                                                const chain_requirements& wish, time_point now)
{
    const bool avoid_ejected = wish.ejected == ejected_targets::avoid;
    const health_map forgiving =
        avoid_ejected ? health_map{} : without_ejections(this->context.health, wish.ejected);
    const health_map& health = avoid_ejected ? this->context.health : forgiving;
    const chain_query query = chain_query_for(this->context, request, wish.excluded);
    const route_index& routes = this->context.current_routes();
    if (wish.broken) {
        auto repaired = repair_chain(routes, health, *wish.broken, wish.excluded, query.seed, now);
        if (repaired.ok()) {
            return repaired;
        }
    }
    return choose_chain(routes, health, query, now);
}

void generation_runner::perform(const running_ptr& generation, const open_attempt& action)
{
    this->release_chain(*generation);
    if (action.is_retry) {
        take_retry(this->context.retries);
    }
    generation->counted = action.through;
    for (const hop& stage : action.through.hops()) {
        ++this->context.health[stage.target].in_flight;
    }
    const milliseconds left = generation->state.request.deadline - event_loop::now();
    generation->stream =
        this->context.engines.open(generation->state.request, action, left,
                                   [this, watch = std::weak_ptr(generation)](const generation_event& event) {
                                       if (const running_ptr alive = watch.lock()) {
                                           this->receive(alive, event);
                                       }
                                   });
    log_event("attempt_opened", {{"request", generation->state.request.id.value},
                                 {"attempt", action.attempt.value},
                                 {"first_target", action.through.hops().front().target.value},
                                 {"given_tokens", static_cast<std::int64_t>(action.delivered.size())}});
}

void generation_runner::perform(const running_ptr& generation, const cancel_attempt& action)
{
    this->release_chain(*generation);
    this->context.engines.cancel(generation->stream, generation->state.request.id, action);
}

void generation_runner::perform(const running_ptr& generation, const suspect_target& action)
{
    ++this->context.counters.attempts_failed;
    record_failure(this->context.health[action.target], event_loop::now());
    log_event("target_suspected", {{"request", generation->state.request.id.value},
                                   {"target", action.target.value},
                                   {"failure", to_string(action.failure)}});
}

void generation_runner::perform(const running_ptr& generation, const deliver_token& action)
{
    if (action.index.value == 0) {
        generation->first_token = event_loop::now();
    }
    if (!generation->streamed) {
        return;
    }
    if (!generation->reply->stream_started()) {
        generation->reply->add_header(outcome_header, "streamed");
        generation->reply->add_header("Cache-Control", "no-store");
        generation->reply->start_stream(200, "text/event-stream");
    }
    generation->reply->write(token_event(generation->state.request, action));
}

void generation_runner::perform(const running_ptr& generation, const deliver_end& action)
{
    this->guard.note_answered(generation->state.request);
    if (generation->counted) {
        this->note_success(*generation->counted);
    }
    const generation_request& request = generation->state.request;
    record_finished(this->context, generation->finished(outcome::completed, std::nullopt));
    if (generation->streamed) {
        if (!generation->reply->stream_started()) {
            generation->reply->add_header(outcome_header, "streamed");
            generation->reply->start_stream(200, "text/event-stream");
        }
        generation->reply->write(end_event(request, action));
        generation->reply->end_stream();
        return;
    }
    generation->reply->add_header(outcome_header, std::string(to_string(outcome::completed)));
    generation->reply->send(200, whole_answer(request, generation->state.tokens, action));
}

void generation_runner::perform(const running_ptr& generation, const deliver_refusal& action)
{
    record_finished(this->context, generation->finished(action.why.result, action.why.code));
    if (generation->reply->stream_started()) {
        generation->reply->write(absl::StrCat("data: ", refusal_body(action.why), "\n\n"));
        generation->reply->end_stream();
        return;
    }
    send_refusal(*generation->reply, action.why);
}

void generation_runner::release_chain(running_generation& generation)
{
    if (!generation.counted) {
        return;
    }
    for (const hop& stage : generation.counted->hops()) {
        --this->context.health[stage.target].in_flight;
    }
    generation.counted.reset();
}

void generation_runner::note_success(const chain& through)
{
    for (const hop& stage : through.hops()) {
        record_success(this->context.health[stage.target]);
    }
}

void generation_runner::tick()
{
    std::vector<running_ptr> all;
    all.reserve(this->generations.size());
    for (const auto& [id, generation] : this->generations) {
        all.push_back(generation);
    }
    for (const running_ptr& generation : all) {
        this->handle(generation, clock_ticked{});
    }
}

} // namespace dandelionstep
