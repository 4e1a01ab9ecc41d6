#pragma once

#include <event2/util.h>

namespace dandelionstep {

//! Sends small messages at once, and ends connections whose peer has gone silent: after unanswered
//! keep-alive probes when idle, or when sent bytes stay unacknowledged.
void set_socket_options(evutil_socket_t socket);

} // namespace dandelionstep
