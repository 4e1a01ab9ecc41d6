#include "request/hop_plan.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

token_count cached_on(const cached_positions& cached, const target_id& target, token_count delivered)
{
    const auto found = cached.find(target);
    return found == cached.end() ? token_count{0} : std::min(found->second, delivered);
}

// The hop before an unresponsive one must time out first, because only that hop can name the culprit. Each
// wait is therefore shorter than that of the hop before it, and all are shorter than the router's own
// timeout.
milliseconds wait_for(milliseconds timeout, std::size_t position, std::size_t hops)
{
    const auto shares = static_cast<std::int64_t>(hops) * 2;
    return timeout * 3 * (shares - static_cast<std::int64_t>(position)) / (shares * 4);
}

} // namespace

std::vector<hop_plan> plan_hops(const chain& through, const cached_positions& cached, token_count delivered,
                                const token_timeouts& limits)
{
    const std::vector<hop>& hops = through.hops();
    std::vector<hop_plan> plans(hops.size());
    // A hop that lost its KV cache needs the activations of all positions that it misses, so all hops before
    // it must run these positions again; the hops after it need not.
    token_count needed = delivered;
    for (std::size_t i = hops.size(); i-- > 0;) {
        needed = std::min(needed, cached_on(cached, hops[i].target, delivered));
        plans[i].prefill_from = needed;
        plans[i].first_wait = wait_for(limits.first_token, i, hops.size());
        plans[i].next_wait = wait_for(limits.next_token, i, hops.size());
    }
    return plans;
}

} // namespace dandelionstep
