#include "target/target_condition.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>

namespace dandelionstep {
namespace {

// After these times a target in backoff gets a request if no other one can take it, so that a mistaken figure
// does not empty a service. The users allow two requests in a rest.
constexpr std::array<milliseconds, 2> backoff_trial_pauses{{{60'000}, {600'000}}};

// Weight of the newest observation in the moving averages.
constexpr double newest_weight = 0.2;
// Half-life of the failure rate: it decays so that a target that has recovered is tried again.
constexpr double failure_half_life_ms = 4000;
// Half-life of the mean response time: one slow response keeps a target out of use for some seconds.
constexpr double response_half_life_ms = 1500;
// How long a target is not used after its first failure; doubled with each consecutive one up to the longest.
constexpr milliseconds first_pause{400};
constexpr milliseconds max_pause{3000};
constexpr std::int64_t max_doublings = 3;
// Each refusal shows that the load was estimated too low, so that it is corrected by a greater factor. The
// part of the factor above 1 decays with this half-life.
constexpr double load_correction_growth = 1.25;
constexpr double max_load_correction = 6;
constexpr double load_correction_half_life_ms = 6000;
// How long the values of a report are used: engines stay slow for seconds, but the KV cache fills within one.
constexpr milliseconds slowdown_validity{4'000};
constexpr milliseconds kv_cache_usage_validity{800};
// A single faulty response says little about the target. It is taken out of use only after this number of
// consecutive failures.
constexpr std::int64_t faulty_responses_before_pause = 4;

// Prompts come often enough that one second shows their rate, and a burst shows within half a second.
constexpr double prefill_half_life_ms = 1'000;

// After this number of consecutive failures to connect, only one request per interval tries the target. A
// caller that is refused and told to retry does so after about that interval.
constexpr std::int64_t connect_failures_before_trials = 2;
constexpr milliseconds trial_interval{1'000};

// Slow start ends when its limit would exceed this.
constexpr std::int64_t max_slow_start_limit = 64;

// The factor in (0, 1] by which an observation has decayed since it was made.
double decay_factor(time_point since, double half_life, time_point now)
{
    const auto age = static_cast<double>(std::max<std::int64_t>(0, (now - since).count));
    return std::exp2(-age / half_life);
}

void update_failure_rate(target_condition& condition, double observed, time_point now)
{
    condition.failure_rate = current_failure_rate(condition, now);
    condition.failure_rate += newest_weight * (observed - condition.failure_rate);
    condition.failure_rate_updated_at = now;
}

} // namespace

const target_condition& condition_of(const target_conditions& conditions, const target_id& id)
{
    static const target_condition unknown;
    const auto found = conditions.find(id);
    return found == conditions.end() ? unknown : found->second;
}

engine_use current_use(const target_condition& condition, time_point now, bool knows_remaining)
{
    return {condition.in_flight, condition.entered, condition.token_layers,
            current_prefill_load(condition, now),
            knows_remaining ? std::optional(condition.remaining_tokens) : std::nullopt};
}

double current_load_correction(const target_condition& condition, time_point now)
{
    return 1 + (condition.load_correction - 1) *
                   decay_factor(condition.load_correction_set_at, load_correction_half_life_ms, now);
}

double current_failure_rate(const target_condition& condition, time_point now)
{
    return condition.failure_rate *
           decay_factor(condition.failure_rate_updated_at, failure_half_life_ms, now);
}

void note_sent(target_condition& condition, time_point now)
{
    condition.trial_until = now + trial_interval;
}

bool is_in_half_open_trial(const target_condition& condition, time_point now)
{
    return condition.consecutive_connect_failures >= connect_failures_before_trials &&
           now < condition.trial_until;
}

void note_reached(target_condition& condition)
{
    condition.consecutive_connect_failures = 0;
}

void note_response(target_condition& condition, milliseconds took, time_point now)
{
    const auto observed = static_cast<double>(took.count);
    const double old_weight =
        condition.mean_response_ms == 0
            ? 0
            : (1 - newest_weight) * decay_factor(condition.responded_at, response_half_life_ms, now);
    condition.mean_response_ms = old_weight * condition.mean_response_ms + (1 - old_weight) * observed;
    condition.responded_at = now;
    note_reached(condition);
    condition.slow_start_limit =
        condition.slow_start_limit * 2 > max_slow_start_limit ? 0 : condition.slow_start_limit * 2;
    condition.consecutive_failures = 0;
    condition.consecutive_refusals = 0;
    condition.avoid_until = {0};
    update_failure_rate(condition, 0, now);
}

double expected_response_ms(const target_condition& condition, double usual_ms, time_point now)
{
    const double excess = condition.mean_response_ms - usual_ms;
    if (condition.mean_response_ms == 0 || excess <= 0) {
        return condition.mean_response_ms == 0 ? usual_ms : condition.mean_response_ms;
    }
    return usual_ms + excess * decay_factor(condition.responded_at, response_half_life_ms, now);
}

void note_failure(target_condition& condition, target_failure failure, time_point now)
{
    ++condition.consecutive_failures;
    condition.consecutive_connect_failures =
        failure == target_failure::unreachable ? condition.consecutive_connect_failures + 1 : 0;
    update_failure_rate(condition, 1, now);
    if (failure == target_failure::faulty && condition.consecutive_failures < faulty_responses_before_pause) {
        return;
    }
    const std::int64_t doublings = std::min(condition.consecutive_failures - 1, max_doublings);
    const milliseconds pause = std::min(first_pause * (std::int64_t{1} << doublings), max_pause);
    condition.avoid_until = std::max(condition.avoid_until, now + pause);
}

void note_refusal(target_condition& condition, milliseconds pause, time_point now)
{
    ++condition.consecutive_refusals;
    const std::int64_t doublings = std::min(condition.consecutive_refusals - 1, max_doublings);
    const milliseconds duration =
        std::max(pause, std::min(pause * (std::int64_t{1} << doublings), max_pause));
    condition.avoid_until = std::max(condition.avoid_until, now + duration);
    condition.load_correction =
        std::min(max_load_correction, current_load_correction(condition, now) * load_correction_growth);
    condition.load_correction_set_at = now;
}

void note_backoff(target_condition& condition, milliseconds requested, const backoff_limits& limits,
                  double draw, time_point now)
{
    const milliseconds bounded = std::min(requested, limits.longest);
    const auto spread_base = static_cast<double>(std::min(bounded, limits.longest_spread_base).count);
    const milliseconds added{static_cast<std::int64_t>(std::ceil(spread_base * limits.spread * draw))};
    // Trials of the backoff in progress count on: what the target said before still holds.
    if (!is_backing_off(condition, now)) {
        condition.backoff_trials = 0;
        condition.backoff_tried_at = now;
    }
    resume_backoff(condition, now + bounded + added);
}

std::optional<time_point> next_backoff_trial(const target_condition& condition)
{
    const auto trials = static_cast<std::size_t>(condition.backoff_trials);
    return trials < backoff_trial_pauses.size()
               ? std::optional(condition.backoff_tried_at + backoff_trial_pauses.at(trials))
               : std::nullopt;
}

void note_backoff_trial(target_condition& condition, time_point now)
{
    ++condition.backoff_trials;
    condition.backoff_tried_at = now;
}

void end_backoff(target_condition& condition, time_point now)
{
    condition.backoff_until = std::min(condition.backoff_until, now);
}

time_point backoff_chance(const target_condition& condition)
{
    const std::optional<time_point> trial = next_backoff_trial(condition);
    return trial ? std::min(*trial, condition.backoff_until) : condition.backoff_until;
}

void resume_backoff(target_condition& condition, time_point until)
{
    condition.backoff_until = std::max(condition.backoff_until, until);
    condition.slow_start_limit = 1;
}

bool is_backing_off(const target_condition& condition, time_point now)
{
    return now < condition.backoff_until;
}

bool is_below_slow_start_limit(const target_condition& condition, std::int64_t in_flight)
{
    return condition.slow_start_limit == 0 || in_flight < condition.slow_start_limit;
}

void note_load(target_condition& condition, std::int64_t load, time_point now)
{
    condition.reported_load = load;
    condition.load_reported_at = now;
}

void note_report(target_condition& condition, double slowdown, double kv_cache_usage, time_point now)
{
    condition.reported_slowdown = std::max(1.0, slowdown);
    condition.reported_kv_cache_usage = std::max(0.0, kv_cache_usage);
    condition.reported_at = now;
}

void note_prefill(target_condition& condition, double token_layers, time_point now)
{
    condition.prefill_load =
        current_prefill_load(condition, now) + token_layers * std::numbers::ln2 / prefill_half_life_ms;
    condition.prefill_noted_at = now;
}

double current_prefill_load(const target_condition& condition, time_point now)
{
    return condition.prefill_load * decay_factor(condition.prefill_noted_at, prefill_half_life_ms, now);
}

double current_slowdown(const target_condition& condition, time_point now)
{
    return now - condition.reported_at < slowdown_validity ? condition.reported_slowdown : 1;
}

double current_kv_cache_usage(const target_condition& condition, time_point now)
{
    return now - condition.reported_at < kv_cache_usage_validity ? condition.reported_kv_cache_usage : 0;
}

void note_unresponsive(target_condition& condition, time_point now)
{
    condition.is_unresponsive = true;
    condition.unresponsive_since = now;
}

void note_probe_answer(target_condition& condition)
{
    condition.is_unresponsive = false;
}

bool is_usable(const target_condition& condition, time_point now)
{
    return !condition.is_unresponsive && now >= condition.avoid_until;
}

} // namespace dandelionstep
