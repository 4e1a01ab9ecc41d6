#pragma once

#include "absl/status/statusor.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace dandelionstep {

//! An IP address and a TCP port.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
    friend bool operator==(const endpoint&, const endpoint&) = default;
};

//! Parses "192.0.2.1:8080"; the error names the text.
absl::StatusOr<endpoint> parse_endpoint(std::string_view text);

//! The endpoint as "192.0.2.1:8080".
std::string to_string(const endpoint& value);

} // namespace dandelionstep
