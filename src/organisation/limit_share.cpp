#include "organisation/limit_share.hpp"

#include <algorithm>
#include <numeric>

namespace dandelionstep {

// Half of the limit is divided evenly, so that a daemon without reports from the others can still serve. The
// other half is divided by demand, but only the part of it that belongs to the daemons that reported lately:
// the remainder may be in use by the daemons that did not.
double limit_share(double limit, const limit_demand& demand)
{
    constexpr double even_fraction = 0.5;
    const auto reporting = static_cast<double>(demand.others.size() + 1);
    const double daemons = std::max(static_cast<double>(demand.daemons), reporting);
    const double even_part = limit * even_fraction / daemons;
    const double to_divide = limit * (1 - even_fraction) * reporting / daemons;
    const auto own = static_cast<double>(std::max<std::int64_t>(demand.own, 0));
    const double total = own + static_cast<double>(std::accumulate(demand.others.begin(), demand.others.end(),
                                                                   std::int64_t{0}));
    const double part = total > 0 ? own / total : 1 / reporting;
    return even_part + to_divide * part;
}

} // namespace dandelionstep
