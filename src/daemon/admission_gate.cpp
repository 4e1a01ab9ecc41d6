#include "daemon/admission_gate.hpp"

#include "adapters/log.hpp"
#include "daemon/answers.hpp"
#include "route/throughput_bound.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

constexpr milliseconds tick_interval{10};
constexpr std::string_view kind = "generation";

} // namespace

admission_gate::admission_gate(daemon_context& context, generation_runner& generations)
    : context(context), generations(generations)
{
    generations.on_finished = [this](const generation_state& generation, bool completed) {
        this->note_finished(generation, completed);
    };
    this->ticker = context.loop.run_every(tick_interval, [this] { this->tick(); });
}

// The first limit is a quarter of what the engines serve at the target's pace: other daemons may use them
// too.
admission_state& admission_gate::state_of(const model_id& model)
{
    const auto known = this->models.find(model);
    if (known != this->models.end()) {
        return known->second;
    }
    constexpr double ms_per_second = 1000;
    constexpr double first_share = 0.25;
    admission_state& state = this->models[model];
    state.limits.token_ms = static_cast<double>(this->context.configured.token_target.count);
    state.limits.max_running_limit = static_cast<double>(this->context.configured.max_requests);
    const double bound = find_throughput_bound(this->context.configuration.declared, model).tokens_per_second;
    state.running_limit = std::clamp(first_share * bound * state.limits.token_ms / ms_per_second,
                                     state.limits.min_running_limit, state.limits.max_running_limit);
    log_event("admission_limit", {{"model", model.value},
                                  {"running_limit", static_cast<std::int64_t>(state.running_limit)},
                                  {"token_target_ms", static_cast<std::int64_t>(state.limits.token_ms)}});
    return state;
}

void admission_gate::submit(generation_request request, bool streamed, request_priority priority,
                            const std::shared_ptr<caller_reply>& reply)
{
    admission_request wanted{.id = request.id,
                             .organisation = request.organisation,
                             .priority = priority,
                             .max_tokens = request.max_tokens,
                             .deadline = request.deadline};
    const auto& organisations = this->context.configuration.declared.organisations;
    if (const auto sender = organisations.find(request.organisation); sender != organisations.end()) {
        wanted.weight = sender->second.weight;
        wanted.max_in_flight = sender->second.max_in_flight;
    }
    admission_state& state = this->state_of(request.model);
    // A quarter of the window may be spent waiting; the rest is left for the answer and for another attempt.
    state.limits.max_wait = (request.deadline - event_loop::now()) / 4;
    // Counted as in flight while it waits, so that a planned stop serves it too.
    ++this->context.requests_in_flight;
    reply->on_gone([this, id = wanted.id] { this->note_gone(id); });
    this->waiting.emplace(wanted.id, waiting_request{std::move(request), streamed, event_loop::now(), reply});
    this->perform(offer(state, wanted, event_loop::now()));
}

void admission_gate::perform(const admission_actions& actions)
{
    for (const admission_action& action : actions) {
        if (const auto* started = std::get_if<start_request>(&action)) {
            this->start(started->id);
        } else {
            this->turn_away(std::get<refuse_request>(action));
        }
    }
}

admission_gate::waiting_request admission_gate::take(const request_id& id)
{
    const auto found = this->waiting.find(id);
    waiting_request taken = std::move(found->second);
    this->waiting.erase(found);
    --this->context.requests_in_flight;
    return taken;
}

void admission_gate::start(const request_id& id)
{
    waiting_request admitted = this->take(id);
    this->generations.start(std::move(admitted.request), admitted.streamed, admitted.reply);
}

void admission_gate::turn_away(const refuse_request& action)
{
    const waiting_request refused = this->take(action.id);
    const milliseconds waited = event_loop::now() - refused.arrived;
    record_finished(this->context, {kind,
                                    refused.request.id,
                                    refused.request.organisation,
                                    refused.request.model.value,
                                    outcome::not_run,
                                    action.code,
                                    {{0}, waited, 0}});
    const admission_state& state = this->state_of(refused.request.model);
    log_event("turned_away", {{"request", action.id.value},
                              {"model", refused.request.model.value},
                              {"running", static_cast<std::int64_t>(state.running.size())},
                              {"running_limit", static_cast<std::int64_t>(state.running_limit)},
                              {"queued", static_cast<std::int64_t>(state.queue.size())},
                              {"token_ms", static_cast<std::int64_t>(state.token_ms)},
                              {"retry_after_ms", action.retry_after.count}});
    refused.reply->on_gone({});
    send_refusal(*refused.reply, execution_tracker{}.refuse(action.code, "the answer would miss its window",
                                                            action.retry_after));
}

void admission_gate::note_gone(const request_id& id)
{
    if (!this->waiting.contains(id)) {
        return;
    }
    const waiting_request gone = this->take(id);
    abandon(this->state_of(gone.request.model), id);
    log_event("caller_gone", {{"request", id.value}});
}

// Runs on the loop's next turn, so that requests that end at once don't nest.
void admission_gate::note_finished(const generation_state& generation, bool completed)
{
    this->context.loop.post([this, model = generation.request.model, id = generation.request.id, completed,
                             tokens = token_count{static_cast<std::int64_t>(generation.tokens.size())}] {
        this->perform(finish(this->state_of(model), id, tokens, completed, event_loop::now()));
    });
}

void admission_gate::tick()
{
    for (auto& [model, state] : this->models) {
        this->perform(dandelionstep::tick(state, event_loop::now()));
    }
}

} // namespace dandelionstep
