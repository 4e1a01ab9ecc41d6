#include "vm/vm_capacity.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

// Rate at which one core writes answers.
constexpr double mbps_per_core = 400;
// Enough for the lists that about sixty daemons request in the same second.
constexpr double sufficient_mbps = 100;
constexpr double max_delay_factor = 5;

} // namespace

double answering_capacity(const vm_capacity& capacity)
{
    return std::min(capacity.cores * mbps_per_core, capacity.link_mbps);
}

double election_delay_factor(const vm_capacity& capacity)
{
    return election_delay_factor_of(answering_capacity(capacity));
}

double election_delay_factor_of(double answering_mbps)
{
    return std::clamp(sufficient_mbps / std::max(1.0, answering_mbps), 1.0, max_delay_factor);
}

} // namespace dandelionstep
