#pragma once

#include "common/clock.hpp"
#include "common/ids.hpp"
#include "target/leaving.hpp"

#include <map>
#include <set>

namespace dandelionstep {

//! What one daemon knows of a target's condition.
struct target_health {
    //! Requests of this daemon that the target is working on.
    std::int64_t in_flight = 0;
    //! Requests that the target itself last reported as running or queued, over all daemons.
    std::int64_t reported_load = 0;
    //! What this daemon had in flight there when the report arrived.
    std::int64_t in_flight_at_report = 0;
    int consecutive_failures = 0;
    //! No work is sent before this time.
    time_point ejected_until{INT64_MIN / 2};
    incarnation started;
    //! When this daemon first met the incarnation, and whether it had met an older one.
    time_point first_seen;
    bool replaced_older = false;
    //! Follows the leaving marks, so it is sticky for the incarnation.
    bool leaving = false;
    //! The list of VMs says that the target is leaving, perhaps an older incarnation of it.
    bool listed_leaving = false;
};

//! The condition of all targets; a target not yet met counts as healthy and idle.
using health_map = std::map<target_id, target_health>;

//! Whether new work may be sent to the target.
bool is_eligible(const health_map& health, const target_id& target, time_point now);

//! Requests waiting or running at the target, as best estimated from its last report and what was sent since.
std::int64_t estimated_load(const health_map& health, const target_id& target);

//! Notes the incarnation that a target reports; false when the report is of an older one and must be ignored.
bool observe_incarnation(target_health& state, const leaving_marks& marks, const target_id& target,
                         incarnation started, time_point now);

//! Brings `leaving` of all targets up to date with the marks.
void refresh_leaving(health_map& health, const leaving_marks& marks);

//! Records a failure: the target is left alone for a while that doubles with each failure in a row.
void record_failure(target_health& state, time_point now);

//! Records a success, which ends any ejection.
void record_success(target_health& state);

} // namespace dandelionstep
