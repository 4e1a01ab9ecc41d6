#include "target/parse_endpoint.hpp"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <cctype>

namespace dandelionstep {
namespace {

bool is_octet(std::string_view text)
{
    constexpr std::size_t most_digits = 3;
    int value = 0;
    return !text.empty() && text.size() <= most_digits && (text.size() == 1 || text.front() != '0') &&
           std::ranges::all_of(text, [](unsigned char c) { return std::isdigit(c) != 0; }) &&
           absl::SimpleAtoi(std::string(text), &value) && value <= UINT8_MAX;
}

bool is_ipv4_address(std::string_view text)
{
    constexpr int octets = 4;
    for (int octet = 1; octet < octets; ++octet) {
        const std::size_t dot = text.find('.');
        if (dot == std::string_view::npos || !is_octet(text.substr(0, dot))) {
            return false;
        }
        text.remove_prefix(dot + 1);
    }
    return is_octet(text);
}

} // namespace

absl::StatusOr<endpoint> parse_endpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    int port = 0;
    if (colon == std::string_view::npos || !absl::SimpleAtoi(std::string(text.substr(colon + 1)), &port) ||
        port < 0 || port > UINT16_MAX || !is_ipv4_address(text.substr(0, colon))) {
        return absl::InvalidArgumentError(
            absl::StrCat("\"", std::string(text), "\" is not an IP address and port like 192.0.2.1:8080"));
    }
    return endpoint{std::string(text.substr(0, colon)), static_cast<std::uint16_t>(port)};
}

std::string to_string(const endpoint& value)
{
    return absl::StrCat(value.address, ":", value.port);
}

} // namespace dandelionstep
