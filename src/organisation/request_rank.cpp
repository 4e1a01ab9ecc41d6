#include "organisation/request_rank.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

// Priorities are 0 to 9, as engines take them.
constexpr int priority_levels = 10;
// Engines know ten levels in all: three of organisations by three of routes, and the rest.
constexpr int told_levels = 3;
constexpr int least_urgent = priority_levels - 1;

int bounded(int priority)
{
    return std::clamp(priority, 0, least_urgent);
}

} // namespace

int request_rank(std::optional<int> organisation_priority, int route_priority)
{
    return bounded(organisation_priority.value_or(0)) * priority_levels + bounded(route_priority);
}

int engine_urgency(int rank)
{
    const int organisation = rank / priority_levels;
    const int route = rank % priority_levels;
    return std::min(organisation * told_levels + std::min(route, told_levels - 1), least_urgent);
}

} // namespace dandelionstep
