#pragma once

#include "common/clock.hpp"

#include <event2/util.h>

namespace dandelionstep {

//! Links deliver within milliseconds; a peer that acknowledges nothing for so long is cut off or dead.
constexpr milliseconds unacknowledged_limit{4'000};

//! Sends small messages at once, and ends connections whose peer has gone silent: after unanswered
//! keep-alive probes when idle, or when sent bytes stay unacknowledged for that time.
void set_socket_options(evutil_socket_t socket);

//! The system ends no connection for bytes that stay unacknowledged.
constexpr milliseconds no_limit{0};

//! Another limit for bytes that stay unacknowledged; it counts too while the peer is there and reads nothing.
void set_unacknowledged_limit(evutil_socket_t socket, milliseconds limit);

//! Bounds the bytes of the peer that wait in the system, which count as this process's memory.
void limit_receive_buffer(evutil_socket_t socket);

//! Makes the end of the connection drop the bytes that have not left.
void reset_when_closed(evutil_socket_t socket);

} // namespace dandelionstep
