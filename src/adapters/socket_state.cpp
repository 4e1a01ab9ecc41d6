#include "adapters/socket_state.hpp"

#include <sys/socket.h>

namespace dandelionstep {

bool has_unread_bytes(evutil_socket_t socket)
{
    char first = 0;
    return recv(socket, &first, sizeof(first), MSG_PEEK | MSG_DONTWAIT) > 0;
}

} // namespace dandelionstep
