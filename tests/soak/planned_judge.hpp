#pragma once

#include "soak/planned_callers.hpp"
#include "soak/planned_work.hpp"

#include <vector>

namespace dandelionstep::soak {

//! Adds what breaks a promise on days without crashes, where nothing but the end of a planned stop excuses a
//! failure, and counts the requests.
void judge_planned(testing::entry_cluster& cluster, const std::vector<planned_asked>& requests,
                   const planned_work& work, soak_result& into);

} // namespace dandelionstep::soak
