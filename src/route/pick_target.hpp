#pragma once

#include "target/target_condition.hpp"
#include "target/target_registry.hpp"

#include <cstdint>
#include <optional>
#include <set>

namespace dandelionstep {

//! The request that a target of a plain service is picked for.
struct target_query {
    service_id service;
    //! Data centre where the request arrived.
    data_centre_id entry;
    //! Targets that were already tried for this request.
    std::set<target_id> excluded;
    time_point now;
    //! Uniform in [0, 1); selects among targets of nearly equal cost, so that daemons don't all pick the same
    //! one.
    double draw = 0;
    //! Whether the remaining work of the targets' running calls counts.
    bool counts_work = false;
};

//! Picks the target that is expected to answer first; targets that are out of use after failures are picked
//! only if there is no other. Never picks a target that is in backoff, or one that could not be reached while
//! another request makes a half-open trial of it. Returns null if no target is left.
const registered_target* pick_target(const target_query& query, const target_registry& registry,
                                     const target_conditions& conditions);

//! The time at which the first of the service's targets ends its backoff; nullopt if none is in backoff.
std::optional<time_point> first_backoff_end(const service_id& service, const target_registry& registry,
                                            const target_conditions& conditions, time_point now);

} // namespace dandelionstep
