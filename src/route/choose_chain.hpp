#pragma once

#include "absl/status/statusor.h"
#include "configuration/declarations.hpp"
#include "route/chain.hpp"
#include "target/health.hpp"

#include <set>

namespace dandelionstep {

//! What a chain is wanted for.
struct chain_query {
    model_id model;
    data_centre_id from;
    //! Targets that this request must not use again.
    std::set<target_id> excluded;
    //! Varies ties between daemons and requests, so that they don't all choose alike.
    std::uint64_t seed = 0;
};

//! The chain with the least estimated time per token over eligible engines.
//! Unknown model: NotFound. No eligible chain: Unavailable.
absl::StatusOr<chain> choose_chain(const declarations& declared, const health_map& health,
                                   const chain_query& query, time_point now);

} // namespace dandelionstep
