#pragma once

#include <cstdint>

namespace dandelionstep::soak {

//! Runs a seed for so many seconds of faults and fails the test with each broken promise.
void check_seed(std::uint64_t seed, int seconds);

} // namespace dandelionstep::soak
