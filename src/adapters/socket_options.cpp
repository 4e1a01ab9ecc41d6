#include "adapters/socket_options.hpp"

#include "adapters/log.hpp"

#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace dandelionstep {
namespace {

constexpr int probe_after_seconds = 3;
constexpr int probe_interval_seconds = 1;
constexpr int probe_count = 3;
// The system would let the window grow to several megabytes; this one carries 1,000
// Mbit/s at a round trip of 1 ms.
constexpr int receive_buffer_bytes = 128 * 1024;

void set_option(evutil_socket_t socket, int level, int name, int value)
{
    if (setsockopt(socket, level, name, &value, sizeof(value)) != 0) {
        log_event("socket_option_failed", {{"option", name}, {"reason", std::strerror(errno)}});
    }
}

} // namespace

void set_socket_options(evutil_socket_t socket)
{
    set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, probe_after_seconds);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, probe_interval_seconds);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, probe_count);
    set_unacknowledged_limit(socket, unacknowledged_limit);
}

void set_unacknowledged_limit(evutil_socket_t socket, milliseconds limit)
{
    set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(limit.count));
}

void limit_receive_buffer(evutil_socket_t socket)
{
    set_option(socket, SOL_SOCKET, SO_RCVBUF, receive_buffer_bytes);
}

void reset_when_closed(evutil_socket_t socket)
{
    const linger at_once{.l_onoff = 1, .l_linger = 0};
    if (setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once)) != 0) {
        log_event("socket_option_failed", {{"option", SO_LINGER}, {"reason", std::strerror(errno)}});
    }
}

} // namespace dandelionstep
