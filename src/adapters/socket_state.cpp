#include "adapters/socket_state.hpp"

#include <linux/sockios.h>
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

bool has_unread_bytes(evutil_socket_t socket)
{
    char first = 0;
    return recv(socket, &first, sizeof(first), MSG_PEEK | MSG_DONTWAIT) > 0;
}

} // namespace dandelionstep
