#include "target/health.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

constexpr milliseconds first_ejection{500};
constexpr int max_ejection_doublings = 6;

} // namespace

bool is_eligible(const health_map& health, const target_id& target, time_point now)
{
    const auto found = health.find(target);
    if (found == health.end()) {
        return true;
    }
    const target_health& state = found->second;
    return !state.leaving && !state.listed_leaving && state.ejected_until <= now;
}

std::int64_t estimated_load(const health_map& health, const target_id& target)
{
    const auto found = health.find(target);
    if (found == health.end()) {
        return 0;
    }
    const target_health& state = found->second;
    const std::int64_t corrected = state.reported_load + state.in_flight - state.in_flight_at_report;
    return std::max({corrected, state.in_flight, std::int64_t{0}});
}

bool observe_incarnation(target_health& state, const leaving_marks& marks, const target_id& target,
                         incarnation started, time_point now)
{
    if (started < state.started) {
        return false;
    }
    if (started > state.started) {
        state.replaced_older = state.started != incarnation{};
        state.started = started;
        state.first_seen = now;
        state.listed_leaving = state.listed_leaving && !state.replaced_older;
        record_success(state);
    }
    state.leaving = is_marked(marks, target, state.started);
    return true;
}

void refresh_leaving(health_map& health, const leaving_marks& marks)
{
    for (const auto& [target, leaving] : marks) {
        target_health& state = health[target];
        state.leaving = leaving >= state.started;
    }
}

void record_failure(target_health& state, time_point now)
{
    // Requests that fail together, such as all streams through a dead target, count as one failure.
    if (state.ejected_until > now) {
        return;
    }
    const int doublings = std::min(state.consecutive_failures, max_ejection_doublings);
    ++state.consecutive_failures;
    state.ejected_until =
        std::max(state.ejected_until, now + first_ejection * (std::int64_t{1} << doublings));
}

void record_success(target_health& state)
{
    state.consecutive_failures = 0;
    state.ejected_until = time_point{INT64_MIN / 2};
}

} // namespace dandelionstep
