#pragma once

#include "vm/membership.hpp"

#include <optional>
#include <vector>

namespace dandelionstep {

//! A plain message: it requests neither the full table nor a probe, and confirms no member.
outgoing_message message_to(const endpoint& to, std::optional<vm_id> vm);
//! Queues a plain message to the member, if the member is known.
void queue_message(const membership& state, membership_actions& actions, const vm_id& vm);
//! Members of this daemon's own data centre that may be alive, except this daemon.
std::vector<vm_id> live_local_peers(const membership& state);

} // namespace dandelionstep
