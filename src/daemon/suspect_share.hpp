#pragma once

#include "daemon/group.hpp"

namespace dandelionstep {

//! The suspects of crashing targets, as state that daemons share.
shared_kind share_suspects(daemon_context& context);

} // namespace dandelionstep
