#pragma once

#include "configuration/declarations.hpp"
#include "target/health.hpp"

#include <optional>
#include <set>

namespace dandelionstep {

//! What a service replica is wanted for.
struct replica_query {
    service_id service;
    data_centre_id from;
    //! Targets that this call must not use again.
    std::set<target_id> excluded;
    //! Varies ties between daemons and requests.
    std::uint64_t seed = 0;
};

//! The least loaded eligible replica, own data centre first; nullopt when there is none.
std::optional<target> choose_replica(const declarations& declared, const health_map& health,
                                     const replica_query& query, time_point now);

} // namespace dandelionstep
