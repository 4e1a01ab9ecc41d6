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
    return found == health.end() || (!found->second.leaving && found->second.ejected_until <= now);
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

void record_failure(target_health& state, time_point now)
{
    // What fails together, as all streams through a dead target do, counts once.
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
