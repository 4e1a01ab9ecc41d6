#include "report/log_budget.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

// Lines a second and the most that are saved up; a line costs some 10 µs of processor time.
constexpr double failures_per_second = 40;
constexpr double successes_per_second = 4;
constexpr double ms_per_second = 1000;

void fill(log_budget& budget, time_point now)
{
    const auto elapsed = static_cast<double>(std::max<std::int64_t>(0, (now - budget.filled_at).count));
    budget.filled_at = now;
    const double seconds = elapsed / ms_per_second;
    budget.failures = std::min(failures_per_second, budget.failures + seconds * failures_per_second);
    budget.successes = std::min(successes_per_second, budget.successes + seconds * successes_per_second);
}

} // namespace

bool may_log(log_budget& budget, log_weight weight, time_point now)
{
    fill(budget, now);
    double& left = weight == log_weight::failure ? budget.failures : budget.successes;
    if (left < 1) {
        ++(weight == log_weight::failure ? budget.dropped_failures : budget.dropped_successes);
        return false;
    }
    left -= 1;
    return true;
}

} // namespace dandelionstep
