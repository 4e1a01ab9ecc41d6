#include "request/hop_plan.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

token_count held_by(const cached_positions& cached, const target_id& target, token_count delivered)
{
    const auto found = cached.find(target);
    return found == cached.end() ? token_count{0} : std::min(found->second, delivered);
}

// The hop next to a silent one must give up first, as only that one knows whom to name; so each wait is
// shorter than that of the hop before it, and all are shorter than the router's own.
milliseconds wait_of(milliseconds silence, std::size_t position, std::size_t hops)
{
    const auto shares = static_cast<std::int64_t>(hops) * 2;
    return silence * 3 * (shares - static_cast<std::int64_t>(position)) / (shares * 4);
}

} // namespace

std::vector<hop_plan> plan_hops(const chain& through, const cached_positions& cached, token_count delivered,
                                const token_timeouts& limits)
{
    const std::vector<hop>& hops = through.hops();
    std::vector<hop_plan> plans(hops.size());
    // A hop that lost its cache needs the activations of every earlier position, so all hops before it run
    // these positions again; the hops after it don't.
    token_count needed = delivered;
    for (std::size_t i = hops.size(); i-- > 0;) {
        needed = std::min(needed, held_by(cached, hops[i].target, delivered));
        plans[i].prefill_from = needed;
        plans[i].first_wait = wait_of(limits.first_token, i, hops.size());
        plans[i].next_wait = wait_of(limits.next_token, i, hops.size());
    }
    return plans;
}

} // namespace dandelionstep
