#include "support/blocking_caller.hpp"

#include <arpa/inet.h>
#include <cerrno>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

namespace dandelionstep::testing {

blocking_caller::blocking_caller(const endpoint& to, int window_bytes)
    : socket(::socket(AF_INET, SOCK_STREAM, 0))
{
    if (window_bytes > 0) {
        REQUIRE(setsockopt(this->socket, SOL_SOCKET, SO_RCVBUF, &window_bytes, sizeof(window_bytes)) == 0);
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    inet_pton(AF_INET, to.address.c_str(), &address.sin_addr);
    REQUIRE(connect(this->socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
}

blocking_caller::~blocking_caller()
{
    this->close();
}

void blocking_caller::write(std::string_view bytes)
{
    const ssize_t sent = send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
        this->ended = true;
        this->reset = true;
    }
}

std::string blocking_caller::read(std::size_t most)
{
    std::string taken;
    while (taken.size() < most) {
        std::string part(most - taken.size(), '\0');
        const ssize_t got = recv(this->socket, part.data(), part.size(), MSG_DONTWAIT);
        if (got > 0) {
            taken.append(part, 0, static_cast<std::size_t>(got));
            continue;
        }
        this->ended = this->ended || got == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
        this->reset = this->reset || (got < 0 && errno == ECONNRESET);
        break;
    }
    return taken;
}

void blocking_caller::end_writing()
{
    REQUIRE(shutdown(this->socket, SHUT_WR) == 0);
}

void blocking_caller::close()
{
    if (this->socket >= 0) {
        ::close(this->socket);
        this->socket = -1;
    }
}

} // namespace dandelionstep::testing
