#include "vm/outgoing_messages.hpp"

#include <utility>

namespace dandelionstep {

outgoing_message message_to(const endpoint& to, std::optional<vm_id> vm)
{
    return {.to = to, .vm = std::move(vm), .wants_full_table = false, .probe = {}, .confirmed = {}};
}

void queue_message(const membership& state, membership_actions& actions, const vm_id& vm)
{
    if (const auto found = state.others.find(vm); found != state.others.end()) {
        actions.to_send.push_back(message_to(found->second.info.peer_address, vm));
    }
}

std::vector<vm_id> live_local_peers(const membership& state)
{
    std::vector<vm_id> live = live_members(state, state.self.data_centre);
    std::erase(live, state.self.vm);
    return live;
}

} // namespace dandelionstep
