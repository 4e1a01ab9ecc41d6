#pragma once

#include "vm/membership.hpp"

#include <optional>
#include <vector>

namespace dandelionstep {

//! A message without a question or news of its own.
outgoing_message message_to(const endpoint& to, std::optional<vm_id> vm);
//! Adds a message to the member, if it is known.
void queue_message(const membership& state, membership_actions& actions, const vm_id& vm);
//! Members of this daemon's own data centre that may be alive, itself left out.
std::vector<vm_id> live_local_peers(const membership& state);

} // namespace dandelionstep
