#pragma once

#include "configuration/declarations.hpp"
#include "target/health.hpp"

#include <optional>
#include <set>

namespace dandelionstep {

//! The call that a service replica is chosen for.
struct replica_query {
    service_id service;
    data_centre_id from;
    //! Targets that this call must not use again.
    std::set<target_id> excluded;
    //! Breaks ties; differs between requests and daemons, so that they don't all choose the same replica.
    std::uint64_t seed = 0;
};

//! Returns the least loaded eligible replica in the data centre `from`, or in any other if it has none;
//! nullopt if no replica is eligible.
std::optional<target> choose_replica(const declarations& declared, const health_map& health,
                                     const replica_query& query, time_point now);

} // namespace dandelionstep
