#include "support/port_blocks.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>
#include <utility>

namespace dandelionstep::testing {

std::optional<port_block> port_block::take(int number)
{
    const int claim = socket(AF_UNIX, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (claim < 0) {
        return std::nullopt;
    }
    const std::string name = absl::StrCat("dandelionstep-test-ports-", number);
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    // A zero before the name: it is in no folder and goes with its socket.
    std::ranges::copy(name, address.sun_path + 1);
    const auto length = static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + name.size());
    if (bind(claim, reinterpret_cast<const sockaddr*>(&address), length) != 0) {
        close(claim);
        return std::nullopt;
    }
    return port_block(number, claim);
}

port_block::~port_block()
{
    if (this->claim >= 0) {
        close(this->claim);
    }
}

port_block::port_block(port_block&& other) noexcept
    : next(other.next), left(other.left), claim(std::exchange(other.claim, -1))
{}

port_block& port_block::operator=(port_block&& other) noexcept
{
    std::swap(this->next, other.next);
    std::swap(this->left, other.left);
    std::swap(this->claim, other.claim);
    return *this;
}

std::optional<std::uint16_t> port_block::next_port()
{
    if (this->left == 0) {
        return std::nullopt;
    }
    --this->left;
    return static_cast<std::uint16_t>(this->next++);
}

} // namespace dandelionstep::testing
