#include "route/moving_weight.hpp"

#include <cmath>

namespace dandelionstep {

// Of exponentially distributed times, divided by the engines' speeds, the smallest is an engine's own with a
// probability in proportion to its speed.
double moving_weight(double draw)
{
    return -std::log1p(-draw);
}

} // namespace dandelionstep
