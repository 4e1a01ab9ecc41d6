#pragma once

#include "common/clock.hpp"
#include "common/ids.hpp"
#include "route/chain.hpp"

#include <map>
#include <vector>

namespace dandelionstep {

//! The positions whose KV cache a target is taken to hold for one request; position n is the n-th token's.
using cached_positions = std::map<target_id, token_count>;

//! What one hop is told for an attempt.
struct hop_plan {
    //! The first position whose layers this hop runs; the earlier ones are in its KV cache.
    token_count prefill_from;
    //! Longest wait for the hops after it in the attempt's first step, which may prefill.
    milliseconds first_wait{0};
    //! Longest wait for the hops after it in each later step.
    milliseconds next_wait{0};
};

//! The longest silences that the router itself bears, from which the hops' waits are derived.
struct token_timeouts {
    milliseconds first_token;
    milliseconds next_token;
};

//! One plan for each hop: as little prefill as the held caches allow, and waits that end nearest to the fault
//! first.
std::vector<hop_plan> plan_hops(const chain& through, const cached_positions& cached, token_count delivered,
                                const token_timeouts& limits);

} // namespace dandelionstep
