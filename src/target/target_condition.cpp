#include "target/target_condition.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace dandelionstep {
namespace {

// Weight of the newest observation in the running means.
constexpr double newest_weight = 0.2;
// Time in which half of the past experience is forgotten, so that a recovered target is tried again.
constexpr double half_life_ms = 4000;
// The same for the time that its responses took: one slow response keeps it out of use for some seconds.
constexpr double response_half_life_ms = 1500;
// First time out of use after a failure; doubled with each further one up to the longest.
constexpr milliseconds first_pause{400};
constexpr milliseconds longest_pause{3000};
constexpr std::int64_t most_doublings = 3;
// Each refusal shows that the load was estimated too low; the factor falls to half its excess in this time.
constexpr double pressure_growth = 1.25;
constexpr double most_pressure = 6;
constexpr double pressure_half_life_ms = 6000;
// How long a report is gone by: engines stay slow for seconds, their memory fills within one.
constexpr milliseconds pace_validity{4'000};
constexpr milliseconds memory_validity{800};
// An error in one response says little; several in a row take the target out of use.
constexpr std::int64_t tolerated_faulty_responses = 4;

// Prompts come in at such intervals that a second tells their rate, and a burst shows within half of one.
constexpr double reading_half_life_ms = 1'000;

// A target that could not be reached so often is tried by one request in each interval. A caller that is told
// to come back asks again after about that time.
constexpr std::int64_t unreached_before_trials = 2;
constexpr milliseconds trial_interval{1'000};

// A target that was given so many requests at a time after a rest is as before.
constexpr std::int64_t most_returning = 64;

// What is left of an experience after that time.
double remainder(time_point since, double half_life, time_point now)
{
    const auto age = static_cast<double>(std::max<std::int64_t>(0, (now - since).count));
    return std::exp2(-age / half_life);
}

void update_share(target_condition& condition, double observed, time_point now)
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

engine_use current_use(const target_condition& condition, time_point now)
{
    return {condition.in_flight, condition.entered, condition.token_layers,
            current_prefill_load(condition, now)};
}

double current_load_correction(const target_condition& condition, time_point now)
{
    return 1 + (condition.load_correction - 1) *
                   remainder(condition.load_correction_set_at, pressure_half_life_ms, now);
}

double current_failure_rate(const target_condition& condition, time_point now)
{
    return condition.failure_rate * remainder(condition.failure_rate_updated_at, half_life_ms, now);
}

void note_sent(target_condition& condition, time_point now)
{
    condition.trial_until = now + trial_interval;
}

bool is_in_half_open_trial(const target_condition& condition, time_point now)
{
    return condition.consecutive_connect_failures >= unreached_before_trials && now < condition.trial_until;
}

void note_reached(target_condition& condition)
{
    condition.consecutive_connect_failures = 0;
}

void note_response(target_condition& condition, milliseconds took, time_point now)
{
    const auto observed = static_cast<double>(took.count);
    const double kept =
        condition.mean_response_ms == 0
            ? 0
            : (1 - newest_weight) * remainder(condition.responded_at, response_half_life_ms, now);
    condition.mean_response_ms = kept * condition.mean_response_ms + (1 - kept) * observed;
    condition.responded_at = now;
    note_reached(condition);
    condition.slow_start_limit =
        condition.slow_start_limit * 2 > most_returning ? 0 : condition.slow_start_limit * 2;
    condition.consecutive_failures = 0;
    condition.consecutive_refusals = 0;
    condition.avoid_until = {0};
    update_share(condition, 0, now);
}

double expected_response_ms(const target_condition& condition, double usual_ms, time_point now)
{
    const double excess = condition.mean_response_ms - usual_ms;
    if (condition.mean_response_ms == 0 || excess <= 0) {
        return condition.mean_response_ms == 0 ? usual_ms : condition.mean_response_ms;
    }
    return usual_ms + excess * remainder(condition.responded_at, response_half_life_ms, now);
}

void note_failure(target_condition& condition, target_failure failure, time_point now)
{
    ++condition.consecutive_failures;
    condition.consecutive_connect_failures =
        failure == target_failure::unreachable ? condition.consecutive_connect_failures + 1 : 0;
    update_share(condition, 1, now);
    if (failure == target_failure::faulty && condition.consecutive_failures < tolerated_faulty_responses) {
        return;
    }
    const std::int64_t doublings = std::min(condition.consecutive_failures - 1, most_doublings);
    const milliseconds pause = std::min(first_pause * (std::int64_t{1} << doublings), longest_pause);
    condition.avoid_until = std::max(condition.avoid_until, now + pause);
}

void note_refusal(target_condition& condition, milliseconds pause, time_point now)
{
    ++condition.consecutive_refusals;
    const std::int64_t doublings = std::min(condition.consecutive_refusals - 1, most_doublings);
    const milliseconds lasting =
        std::max(pause, std::min(pause * (std::int64_t{1} << doublings), longest_pause));
    condition.avoid_until = std::max(condition.avoid_until, now + lasting);
    condition.load_correction =
        std::min(most_pressure, current_load_correction(condition, now) * pressure_growth);
    condition.load_correction_set_at = now;
}

void note_backoff(target_condition& condition, milliseconds rest, const backoff_limits& limits, double draw,
                  time_point now)
{
    const auto bounded = static_cast<double>(std::min(rest, limits.longest).count);
    const milliseconds lasting{static_cast<std::int64_t>(std::ceil(bounded * (1 + limits.spread * draw)))};
    resume_backoff(condition, now + lasting);
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

bool is_below_slow_start_limit(const target_condition& condition, std::int64_t present)
{
    return condition.slow_start_limit == 0 || present < condition.slow_start_limit;
}

void note_load(target_condition& condition, std::int64_t load, time_point now)
{
    condition.reported_load = load;
    condition.load_reported_at = now;
}

void note_report(target_condition& condition, double pace, double memory_share, time_point now)
{
    condition.reported_slowdown = std::max(1.0, pace);
    condition.reported_kv_cache_usage = std::max(0.0, memory_share);
    condition.reported_at = now;
}

void note_prefill(target_condition& condition, double token_layers, time_point now)
{
    condition.prefill_load =
        current_prefill_load(condition, now) + token_layers * std::numbers::ln2 / reading_half_life_ms;
    condition.prefill_noted_at = now;
}

double current_prefill_load(const target_condition& condition, time_point now)
{
    return condition.prefill_load * remainder(condition.prefill_noted_at, reading_half_life_ms, now);
}

double current_slowdown(const target_condition& condition, time_point now)
{
    return now - condition.reported_at < pace_validity ? condition.reported_slowdown : 1;
}

double current_kv_cache_usage(const target_condition& condition, time_point now)
{
    return now - condition.reported_at < memory_validity ? condition.reported_kv_cache_usage : 0;
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
