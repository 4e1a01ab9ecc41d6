#include "adapters/socket_state.hpp"

#include <cerrno>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace dandelionstep {

std::size_t unacknowledged_bytes(evutil_socket_t socket)
{
    int bytes = 0;
    if (ioctl(socket, SIOCOUTQ, &bytes) != 0 || bytes < 0) {
        return 0;
    }
    return static_cast<std::size_t>(bytes);
}

bool is_window_full(evutil_socket_t socket)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    return getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 && info.tcpi_unacked == 0 &&
           unacknowledged_bytes(socket) > 0;
}

bool has_unread_bytes(evutil_socket_t socket)
{
    char first = 0;
    return recv(socket, &first, sizeof(first), MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool has_peer_ended(evutil_socket_t socket)
{
    pollfd asked{.fd = socket, .events = POLLRDHUP, .revents = 0};
    return poll(&asked, 1, 0) > 0 && (asked.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool is_open_and_silent(evutil_socket_t socket)
{
    char first = 0;
    return recv(socket, &first, sizeof(first), MSG_PEEK | MSG_DONTWAIT) < 0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace dandelionstep
