#pragma once

#include <cstdint>
#include <string>

namespace dandelionstep {

//! A random number from the system's generator, as a seed for decisions.
std::uint64_t random_seed();

//! A fresh identifier of 128 random bits, in hexadecimal.
std::string random_id();

} // namespace dandelionstep
