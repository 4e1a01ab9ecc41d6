#pragma once

#include "common/clock.hpp"
#include "common/ids.hpp"
#include "route/chain.hpp"

#include <map>
#include <vector>

namespace dandelionstep {

//! The number of positions that each target is assumed to have in its KV cache for one request, counted from
//! the first; position n is that of the n-th token.
using cached_positions = std::map<target_id, token_count>;

//! The instructions to one hop for an attempt.
struct hop_plan {
    //! The first position that this hop must run; it has the earlier ones in its KV cache.
    token_count prefill_from;
    //! The longest wait for the hops after it in the attempt's first step, which may include a prefill.
    milliseconds first_wait{0};
    //! The longest wait for the hops after it in each later step.
    milliseconds next_wait{0};
};

//! The router's own timeouts for tokens, from which the hops' waits are derived.
struct token_timeouts {
    milliseconds first_token;
    milliseconds next_token;
};

//! Returns one plan for each hop: as little prefill as the caches allow, and waits that get shorter from hop
//! to hop, so that the hop next to a fault times out first. `delivered` is the number of tokens that the
//! caller already has.
std::vector<hop_plan> plan_hops(const chain& through, const cached_positions& cached, token_count delivered,
                                const token_timeouts& limits);

} // namespace dandelionstep
