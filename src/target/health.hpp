#pragma once

#include "common/clock.hpp"
#include "common/ids.hpp"
#include "target/leaving.hpp"

#include <map>
#include <set>

namespace dandelionstep {

//! What one daemon knows of a target's health.
struct target_health {
    //! Requests of this daemon in flight on the target.
    std::int64_t in_flight = 0;
    //! Requests of all daemons, running or queued, as the target itself last reported.
    std::int64_t reported_load = 0;
    //! Requests of this daemon in flight on the target when that report arrived.
    std::int64_t in_flight_at_report = 0;
    int consecutive_failures = 0;
    //! No requests are sent to the target before this time.
    time_point ejected_until{INT64_MIN / 2};
    incarnation started;
    //! When this daemon first saw the incarnation, and whether it had seen an older one before.
    time_point first_seen;
    bool replaced_older = false;
    //! Whether the incarnation has a leaving mark; never cleared for the same incarnation.
    bool leaving = false;
    //! Whether the list of VMs shows the target as leaving; the list may mean an older incarnation.
    bool listed_leaving = false;
};

//! The health of all targets; a target without an entry counts as healthy and idle.
using health_map = std::map<target_id, target_health>;

//! Whether new requests may be sent to the target.
bool is_eligible(const health_map& health, const target_id& target, time_point now);

//! Requests waiting or running on the target, estimated from its last report and what this daemon sent since.
std::int64_t estimated_load(const health_map& health, const target_id& target);

//! Notes the incarnation that a target reports. False: the report is of an older one and must be ignored.
bool observe_incarnation(target_health& state, const leaving_marks& marks, const target_id& target,
                         incarnation started, time_point now);

//! Updates `leaving` of all targets from the marks.
void refresh_leaving(health_map& health, const leaving_marks& marks);

//! Records a failure: ejects the target for a time that doubles with each consecutive failure.
void record_failure(target_health& state, time_point now);

//! Records a success: ends an ejection and resets the count of failures.
void record_success(target_health& state);

} // namespace dandelionstep
