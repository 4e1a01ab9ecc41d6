#include "vm/member_probes.hpp"

#include "vm/membership_table.hpp"
#include "vm/outgoing_messages.hpp"

#include <algorithm>
#include <optional>
#include <vector>

namespace dandelionstep {
namespace {

// Every member of the data centre is probed once before any is probed twice.
std::optional<vm_id> next_to_probe(membership& state)
{
    for (int rounds = 0; rounds < 2; ++rounds) {
        while (!state.probe_order.empty()) {
            const vm_id vm = state.probe_order.front();
            state.probe_order.pop_front();
            const auto found = state.others.find(vm);
            if (found != state.others.end() && is_live(found->second.info)) {
                return vm;
            }
        }
        std::vector<vm_id> live = live_local_peers(state);
        shuffle(state, live);
        state.probe_order.assign(live.begin(), live.end());
    }
    return std::nullopt;
}

void ask_others_to_probe(membership& state, membership_actions& actions, const vm_id& vm)
{
    std::vector<vm_id> helpers = live_local_peers(state);
    std::erase(helpers, vm);
    shuffle(state, helpers);
    helpers.resize(std::min(helpers.size(), state.limits.indirect_probes));
    for (const vm_id& helper : helpers) {
        queue_message(state, actions, helper);
        actions.to_send.back().probe = state.others.at(vm).info;
    }
}

void suspect(membership& state, membership_actions& actions, const vm_id& vm, time_point now)
{
    const auto found = state.others.find(vm);
    if (found == state.others.end() || found->second.info.state != member_state::alive) {
        return;
    }
    member update = found->second.info;
    update.state = member_state::suspect;
    merge_member(state, actions, update, now);
    // The suspect is told at once, so that it can refute the suspicion in time.
    queue_message(state, actions, vm);
}

} // namespace

void probe_next(membership& state, membership_actions& actions, time_point now)
{
    state.next_probe = now + jittered(state, state.limits.probe_interval);
    if (const auto vm = next_to_probe(state)) {
        state.probes.try_emplace(*vm, pending_probe{now, false});
        queue_message(state, actions, *vm);
    }
}

void check_probes(membership& state, membership_actions& actions, time_point now)
{
    const auto running = state.probes;
    for (const auto& [vm, probe] : running) {
        if (!state.others.contains(vm)) {
            state.probes.erase(vm);
        } else if (now - probe.sent_at >= state.limits.probe_interval) {
            state.probes.erase(vm);
            suspect(state, actions, vm, now);
        } else if (!probe.indirect && now - probe.sent_at >= state.limits.probe_timeout) {
            state.probes[vm].indirect = true;
            ask_others_to_probe(state, actions, vm);
        }
    }
}

void check_suspects(membership& state, membership_actions& actions, time_point now)
{
    std::vector<member> dead;
    for (const auto& [vm, each] : state.others) {
        // Only daemons of a member's own data centre may declare it dead.
        if (each.info.state == member_state::suspect && each.info.data_centre == state.self.data_centre &&
            now - each.changed >= state.limits.suspicion) {
            dead.push_back(each.info);
        }
    }
    for (member& each : dead) {
        each.state = member_state::dead;
        merge_member(state, actions, each, now);
    }
}

} // namespace dandelionstep
