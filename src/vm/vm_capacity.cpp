#include "vm/vm_capacity.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

// What one core writes of answers.
constexpr double mbps_of_core = 400;
// Enough for the lists that some sixty daemons ask for in the same second.
constexpr double ample_mbps = 100;
constexpr double longest_hesitation = 5;

} // namespace

double answering_capacity(const vm_capacity& capacity)
{
    return std::min(capacity.cores * mbps_of_core, capacity.link_mbps);
}

double hesitation(const vm_capacity& capacity)
{
    return hesitation_of(answering_capacity(capacity));
}

double hesitation_of(double answering_mbps)
{
    return std::clamp(ample_mbps / std::max(1.0, answering_mbps), 1.0, longest_hesitation);
}

} // namespace dandelionstep
