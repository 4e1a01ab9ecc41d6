#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace dandelionstep {

//! An IP address and a TCP port.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): the check takes the 0 of the comparison for a null pointer
    friend auto operator<=>(const endpoint&, const endpoint&) = default;
    friend bool operator==(const endpoint&, const endpoint&) = default;
};

//! The endpoint as "192.0.2.1:8080".
std::string to_string(const endpoint& value);

} // namespace dandelionstep
