#pragma once

#include "absl/status/statusor.h"
#include "route/chain.hpp"
#include "route/chain_policy.hpp"
#include "route/route_index.hpp"
#include "target/health.hpp"

#include <set>

namespace dandelionstep {

//! What a chain is wanted for.
struct chain_query {
    model_id model;
    data_centre_id from;
    //! Targets that this request must not use again.
    std::set<target_id> excluded;
    //! Differs between requests and daemons, so that they don't all choose alike.
    std::uint64_t seed = 0;
    token_count prompt_tokens{0};
    token_count expected_tokens{128};
    //! Requests with the same prompt prefix have the same value; 0 when unknown.
    std::uint64_t prefix_hash = 0;
    chain_policy policy = chain_policy::least_cost;
    //! The number of this choice, for the policy round_robin.
    std::uint64_t turn = 0;
};

//! The time that one more request would need for each token at an engine, in milliseconds.
//! `load` are the requests there already, `idle_token_ms` is the time of a token through an idle chain.
double stage_token_ms(const engine_spec& engine, std::int64_t load, double idle_token_ms);

//! The chain with the least estimated time over eligible engines, of which only a few of each group are
//! looked at: O(groups * (log(targets) + data centres)). Unknown model: NotFound. No eligible chain:
//! Unavailable.
absl::StatusOr<chain> choose_chain(const route_index& index, const health_map& health,
                                   const chain_query& query, time_point now);

} // namespace dandelionstep
