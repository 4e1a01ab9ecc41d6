#pragma once

#include "target/entry_target.hpp"
#include "target/target_condition.hpp"

#include <cstdint>
#include <optional>
#include <set>

namespace dandelionstep {

//! What a choice of a plain service's target depends on.
struct target_query {
    service_id service;
    //! Where the request entered.
    data_centre_id entry;
    //! Already tried for this request.
    std::set<target_id> excluded;
    time_point now;
    //! Uniform in [0, 1); breaks near ties, so that daemons don't all choose alike.
    double draw = 0;
};

//! The target that is expected to answer first; one that is out of use only when there is no other. Null when
//! the service has none, or none but such as rest, or can't be reached and are being tried by another
//! request.
const registered_target* pick_target(const target_query& query, const target_registry& registry,
                                     const target_conditions& conditions);

//! When the first of the service's targets ends its rest; nullopt when none rests.
std::optional<time_point> first_backoff_end(const service_id& service, const target_registry& registry,
                                            const target_conditions& conditions, time_point now);

} // namespace dandelionstep
