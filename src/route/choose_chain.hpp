#pragma once

#include "absl/status/statusor.h"
#include "route/chain.hpp"
#include "route/chain_policy.hpp"
#include "route/route_index.hpp"
#include "target/health.hpp"

#include <set>

namespace dandelionstep {

//! The request that a chain is chosen for.
struct chain_query {
    model_id model;
    data_centre_id from;
    //! Targets that this request must not use again.
    std::set<target_id> excluded;
    //! Differs between requests and daemons, so that they don't all choose the same engines.
    std::uint64_t seed = 0;
    token_count prompt_tokens{0};
    token_count expected_tokens{128};
    //! Hash of the prompt's prefix, to reuse an engine's prefix cache; 0 if unknown.
    std::uint64_t prefix_hash = 0;
    chain_policy policy = chain_policy::least_cost;
    //! Consecutive number of the daemon's choice, from which the policy round_robin picks the engines.
    std::uint64_t turn = 0;
};

//! Estimated milliseconds per token that an additional request would take at an engine. `load` is the number
//! of requests that the engine already has, `idle_token_ms` the time of one token through an idle chain.
double stage_token_ms(const engine_spec& engine, std::int64_t load, double idle_token_ms);

//! Chooses a chain of eligible engines by the query's policy. For least_cost, only a few engines of each
//! group are examined: O(groups * (log(targets) + data centres)). Returns NotFound if the model is not
//! declared, and Unavailable if no eligible engines hold all its layers.
absl::StatusOr<chain> choose_chain(const route_index& index, const health_map& health,
                                   const chain_query& query, time_point now);

} // namespace dandelionstep
