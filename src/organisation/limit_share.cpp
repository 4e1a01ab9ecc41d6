#include "organisation/limit_share.hpp"

#include <algorithm>
#include <numeric>

namespace dandelionstep {

// Half of the limit is divided evenly, so that a daemon with news of no one can still serve. The other half
// follows demand, but only as much of it as belongs to the daemons that were heard of: the rest may be in use
// by those that were not.
double limit_share(double limit, const limit_demand& demand)
{
    constexpr double even_half = 0.5;
    const auto heard_of = static_cast<double>(demand.others.size() + 1);
    const double daemons = std::max(static_cast<double>(demand.daemons), heard_of);
    const double even_part = limit * even_half / daemons;
    const double to_divide = limit * (1 - even_half) * heard_of / daemons;
    const auto own = static_cast<double>(std::max<std::int64_t>(demand.own, 0));
    const double total = own + static_cast<double>(std::accumulate(demand.others.begin(), demand.others.end(),
                                                                   std::int64_t{0}));
    const double part = total > 0 ? own / total : 1 / heard_of;
    return even_part + to_divide * part;
}

} // namespace dandelionstep
