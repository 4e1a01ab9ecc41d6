#include "support/waiting_target.hpp"

#include "absl/strings/str_format.h"

#include <arpa/inet.h>
#include <cerrno>
#include <doctest/doctest.h>
#include <fstream>
#include <sys/socket.h>
#include <unistd.h>

namespace dandelionstep::testing {

waiting_target::waiting_target(int backlog, int buffer_bytes)
    : listener(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
{
    if (buffer_bytes > 0) {
        REQUIRE(setsockopt(this->listener, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof(buffer_bytes)) == 0);
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    REQUIRE(bind(this->listener, reinterpret_cast<const sockaddr*>(&address), length) == 0);
    REQUIRE(getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &length) == 0);
    this->at = {"127.0.0.1", ntohs(address.sin_port)};
    this->set_backlog(backlog);
}

waiting_target::~waiting_target()
{
    this->end_connections();
    ::close(this->listener);
}

void waiting_target::set_backlog(int backlog) const
{
    REQUIRE(listen(this->listener, backlog) == 0);
}

std::size_t waiting_target::take_connections()
{
    int socket = -1;
    while ((socket = accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK)) >= 0) {
        this->open.push_back(socket);
        ++this->taken;
    }
    return this->taken;
}

std::string waiting_target::take_bytes()
{
    constexpr std::size_t part_bytes = 65'536;
    std::string all;
    std::string part(part_bytes, '\0');
    for (const int socket : this->open) {
        ssize_t got = 0;
        while ((got = recv(socket, part.data(), part.size(), 0)) > 0) {
            all.append(part, 0, static_cast<std::size_t>(got));
        }
        this->reset = this->reset || (got < 0 && errno == ECONNRESET);
    }
    return all;
}

void waiting_target::write(std::string_view bytes) const
{
    for (const int socket : this->open) {
        REQUIRE(send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
    }
}

void waiting_target::end_connections()
{
    for (const int socket : this->open) {
        ::close(socket);
    }
    this->open.clear();
}

std::size_t waiting_target::opening() const
{
    // The other end's address as bytes in memory order, and the state of a connection whose first packet was
    // sent.
    const std::string opening_to = absl::StrFormat(" 0100007F:%04X 02 ", this->at.port);
    std::ifstream lines("/proc/net/tcp");
    std::string line;
    std::size_t count = 0;
    while (std::getline(lines, line)) {
        count += line.find(opening_to) != std::string::npos ? 1 : 0;
    }
    return count;
}

} // namespace dandelionstep::testing
