#pragma once

#include "common/clock.hpp"
#include "common/ids.hpp"

#include <map>
#include <optional>
#include <vector>

namespace dandelionstep {

//! Targets of which it is not known whether they are still registered, and until when they are kept.
using unconfirmed_targets = std::map<target_id, time_point>;

//! Those whose time is over.
std::vector<target_id> find_expired(const unconfirmed_targets& unconfirmed, time_point now);

//! When the time of the first of them is over; nullopt when there is none.
std::optional<time_point> first_expiry(const unconfirmed_targets& unconfirmed);

} // namespace dandelionstep
