#pragma once

#include <event2/util.h>

namespace dandelionstep {

//! Whether bytes of the peer wait in the system to be read.
bool has_unread_bytes(evutil_socket_t socket);

} // namespace dandelionstep
