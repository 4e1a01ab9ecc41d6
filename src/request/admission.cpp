#include "request/admission.hpp"

#include <algorithm>
#include <cmath>

namespace dandelionstep {
namespace {

constexpr double ewma_weight = 0.05;
constexpr double decrease_factor = 0.9;
constexpr double increase_ratio = 0.04;
constexpr double used_ratio = 0.9;
// The moving average lags behind, so slow start must end before the average reaches its target.
constexpr double slow_start_end_ratio = 0.7;
constexpr milliseconds min_retry_after{100};

double expected_tokens(const admission_state& state, token_count max_tokens)
{
    return std::min(state.mean_answer_tokens,
                    static_cast<double>(std::max<std::int64_t>(max_tokens.value, 1)));
}

milliseconds in_ms(double value)
{
    return {static_cast<std::int64_t>(std::ceil(value))};
}

// Tokens per millisecond while the concurrency limit is fully used.
double tokens_per_ms_at_limit(const admission_state& state)
{
    return state.running_limit / std::max(state.token_ms, 1.0);
}

bool has_free_slot(const admission_state& state)
{
    return static_cast<double>(state.running.size()) + 1 <= state.running_limit;
}

bool is_at_limit(const admission_state& state, const organisation_id& organisation, std::int64_t limit)
{
    const auto own = state.running_by_organisation.find(organisation);
    return own != state.running_by_organisation.end() && own->second >= limit;
}

void start(admission_state& state, const request_id& id, const organisation_id& organisation, time_point now,
           admission_actions& actions)
{
    state.running.emplace(id, admission_state::running_request{organisation, now});
    ++state.running_by_organisation[organisation];
    actions.emplace_back(start_request{id});
}

void refuse_late(admission_state& state, time_point now, admission_actions& actions)
{
    for (const queued_request& late : state.queue.remove_late(now, state.token_ms)) {
        const double backlog = state.queue.work_ahead(late.organisation, late.weight, late.priority);
        actions.emplace_back(
            refuse_request{late.id, error_code::overloaded,
                           std::max(min_retry_after, in_ms(backlog / tokens_per_ms_at_limit(state)))});
    }
}

void start_next(admission_state& state, time_point now, admission_actions& actions)
{
    refuse_late(state, now, actions);
    while (has_free_slot(state) && state.queue.size() > 0) {
        std::map<organisation_id, bool> at_limit;
        for (const auto& [organisation, limit] : state.limit_of_organisation) {
            at_limit[organisation] = is_at_limit(state, organisation, limit);
        }
        const auto next = state.queue.pop(at_limit);
        if (!next) {
            return;
        }
        start(state, next->id, next->organisation, now, actions);
    }
}

// Additive increase while the limit is used and tokens arrive fast enough, multiplicative decrease while they
// are slow (AIMD): daemons that share engines converge to fair shares without coordination.
void adapt_limit(admission_state& state)
{
    const bool is_slow = state.token_ms > state.limits.token_ms;
    const bool is_used = static_cast<double>(state.running.size()) >= used_ratio * state.running_limit;
    state.in_slow_start =
        state.in_slow_start && state.token_ms < slow_start_end_ratio * state.limits.token_ms;
    ++state.finished_since_increase;
    ++state.finished_since_decrease;
    if (is_slow) {
        // The limit is lowered again only when the average reflects requests that ran under the lower limit.
        if (static_cast<double>(state.finished_since_decrease) >=
            std::max(1 / ewma_weight, state.running_limit / 4)) {
            state.running_limit *= decrease_factor;
            state.finished_since_decrease = 0;
        }
    } else if (is_used && (state.in_slow_start ||
                           static_cast<double>(state.finished_since_increase) >= state.running_limit / 8)) {
        state.running_limit +=
            std::max(1.0, state.in_slow_start ? 1.0 : increase_ratio * state.running_limit);
        state.finished_since_increase = 0;
    }
    state.running_limit =
        std::clamp(state.running_limit, state.limits.min_running_limit, state.limits.max_running_limit);
}

void update_averages(admission_state& state, double tokens, double duration_ms)
{
    state.token_ms += ewma_weight * (duration_ms / tokens - state.token_ms);
    state.mean_answer_tokens += ewma_weight * (tokens - state.mean_answer_tokens);
    adapt_limit(state);
}

} // namespace

milliseconds expected_wait(const admission_state& state, const admission_request& request)
{
    if (has_free_slot(state) && state.queue.size() == 0) {
        return {0};
    }
    const double ahead = state.queue.work_ahead(request.organisation, request.weight, request.priority);
    // Half a mean answer of work accounts for the wait until a running request ends and frees a slot.
    return in_ms((ahead + state.mean_answer_tokens / 2) / tokens_per_ms_at_limit(state));
}

admission_actions offer(admission_state& state, const admission_request& request, time_point now)
{
    admission_actions actions;
    state.limit_of_organisation[request.organisation] = request.max_in_flight;
    const bool held = is_at_limit(state, request.organisation, request.max_in_flight);
    if (has_free_slot(state) && state.queue.size() == 0 && !held) {
        start(state, request.id, request.organisation, now, actions);
        return actions;
    }
    const double tokens = expected_tokens(state, request.max_tokens);
    const milliseconds wait = expected_wait(state, request);
    const milliseconds service = in_ms(tokens * state.token_ms);
    const milliseconds allowed = std::min(state.limits.max_wait, request.deadline - now - service);
    if (wait > allowed) {
        actions.emplace_back(
            refuse_request{request.id, error_code::overloaded, std::max(min_retry_after, wait - allowed)});
        return actions;
    }
    state.queue.push({request.id, request.organisation, request.weight, request.priority, tokens,
                      now + state.limits.max_wait, request.deadline});
    if (state.queue.size() > state.limits.max_queued) {
        const auto dropped = state.queue.drop_longest();
        actions.emplace_back(
            refuse_request{dropped->id, error_code::overloaded, std::max(min_retry_after, wait)});
    }
    start_next(state, now, actions);
    return actions;
}

admission_actions finish(admission_state& state, const request_id& id, token_count tokens, bool completed,
                         time_point now)
{
    admission_actions actions;
    const auto found = state.running.find(id);
    if (found != state.running.end()) {
        const auto own = state.running_by_organisation.find(found->second.organisation);
        if (--own->second == 0) {
            state.running_by_organisation.erase(own);
        }
        if (completed && tokens.value > 0) {
            update_averages(state, static_cast<double>(tokens.value),
                            static_cast<double>((now - found->second.began).count));
        }
        state.running.erase(found);
    }
    start_next(state, now, actions);
    return actions;
}

admission_actions tick(admission_state& state, time_point now)
{
    admission_actions actions;
    start_next(state, now, actions);
    return actions;
}

void abandon(admission_state& state, const request_id& id)
{
    state.queue.remove(id);
}

} // namespace dandelionstep
