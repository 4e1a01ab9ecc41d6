#pragma once

#include "common/clock.hpp"
#include "common/ids.hpp"

#include <map>
#include <optional>
#include <vector>

namespace dandelionstep {

//! Targets of which it is not known whether they are still registered, and until when they are kept.
using doubtful_targets = std::map<target_id, time_point>;

//! Those whose time is over.
std::vector<target_id> overdue(const doubtful_targets& doubtful, time_point now);

//! When the time of the first of them is over; nullopt when there is none.
std::optional<time_point> first_overdue_at(const doubtful_targets& doubtful);

} // namespace dandelionstep
