#include "target/doubtful_targets.hpp"

#include <algorithm>

namespace dandelionstep {

std::vector<target_id> overdue(const doubtful_targets& doubtful, time_point now)
{
    std::vector<target_id> due;
    for (const auto& [id, until] : doubtful) {
        if (now >= until) {
            due.push_back(id);
        }
    }
    return due;
}

std::optional<time_point> first_overdue_at(const doubtful_targets& doubtful)
{
    std::optional<time_point> first;
    for (const auto& [id, until] : doubtful) {
        first = std::min(first.value_or(until), until);
    }
    return first;
}

} // namespace dandelionstep
