#pragma once

#include <cstddef>
#include <event2/util.h>

namespace dandelionstep {

//! Bytes that were written to the socket and that the peer has not acknowledged; 0 when the system can't
//! tell.
std::size_t unacknowledged_bytes(evutil_socket_t socket);

//! Whether bytes wait for the peer to make room for them, and none is on its way.
bool is_window_full(evutil_socket_t socket);

//! Whether bytes of the peer wait in the system to be read.
bool has_unread_bytes(evutil_socket_t socket);

//! Whether the peer has ended the connection or its direction of it, read or not.
bool has_peer_ended(evutil_socket_t socket);

//! Whether the connection is open and nothing of the peer waits in the system.
bool is_open_and_silent(evutil_socket_t socket);

} // namespace dandelionstep
