#include "route/moving_weight.hpp"

#include <cmath>

namespace dandelionstep {

// The factor is exponentially distributed. Of several such values, each divided by its engine's speed, the
// value of an engine is the smallest with a probability in proportion to its speed.
double moved_stream_cost_factor(double draw)
{
    return -std::log1p(-draw);
}

double new_request_cost_factor(double draw)
{
    constexpr double spread = 0.5;
    return 1 + spread * moved_stream_cost_factor(draw);
}

} // namespace dandelionstep
