#include "route/cost_factor.hpp"

#include <cmath>

namespace dandelionstep {

// Of exponentially distributed times, divided by the engines' speeds, the smallest is an engine's own with a
// probability in proportion to its speed.
double moving_weight(double draw)
{
    return -std::log1p(-draw);
}

double fresh_weight(double draw)
{
    constexpr double spread = 0.5;
    return 1 + spread * moving_weight(draw);
}

} // namespace dandelionstep
