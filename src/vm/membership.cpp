#include "vm/membership.hpp"

#include "data_centre/rendezvous.hpp"
#include "vm/member_probes.hpp"
#include "vm/membership_table.hpp"
#include "vm/outgoing_messages.hpp"

#include <algorithm>
#include <set>

namespace dandelionstep {
namespace {

// Sends a message to one daemon of every other data centre. After each failure the next daemon there is
// tried.
void relay_now(membership& state, membership_actions& actions)
{
    for (const data_centre_id& data_centre : other_data_centres(state)) {
        const std::vector<vm_id> ranked =
            choose_by_rendezvous(live_members(state, data_centre), "relay", state.others.size());
        if (ranked.empty()) {
            continue;
        }
        const std::size_t preferred = std::min(relays_per_data_centre, ranked.size());
        const std::size_t failures = state.relay_failures[data_centre];
        const std::size_t place = failures == 0 ? next_random(state) % preferred : failures % ranked.size();
        queue_message(state, actions, ranked[place]);
    }
}

void relay(membership& state, membership_actions& actions, time_point now)
{
    state.next_relay = now + jittered(state, state.limits.relay_interval);
    if (is_chosen(state, "relay", relays_per_data_centre)) {
        relay_now(state, actions);
    }
}

// Heals partitions: tries again to reach members that were declared dead, and seeds that are no live members.
void rejoin(membership& state, membership_actions& actions, time_point now)
{
    state.next_rejoin = now + jittered(state, state.limits.rejoin_interval);
    std::vector<outgoing_message> candidates;
    std::set<endpoint> live;
    for (const auto& [vm, each] : state.others) {
        if (is_live(each.info)) {
            live.insert(each.info.peer_address);
        } else if (each.info.state == member_state::dead && each.info.data_centre == state.self.data_centre) {
            candidates.push_back(message_to(each.info.peer_address, vm));
        }
    }
    for (const endpoint& seed : state.seeds) {
        if (!live.contains(seed) && seed != state.self.peer_address) {
            candidates.push_back(message_to(seed, {}));
        }
    }
    if (!candidates.empty()) {
        actions.to_send.push_back(candidates[next_random(state) % candidates.size()]);
        actions.to_send.back().wants_full_table = state.others.empty();
    }
}

bool digest_differs_too_long(const membership& state, const vm_id& vm, time_point now)
{
    const auto found = state.others.find(vm);
    if (found == state.others.end()) {
        return false;
    }
    const auto since = state.digest_differs_since.find(found->second.info.data_centre);
    const bool is_starting = now - state.started_at < state.limits.startup_period;
    return since != state.digest_differs_since.end() &&
           (is_starting || now - since->second >= state.limits.table_request_delay);
}

// Gossip may miss a daemon. A digest that keeps differing reveals this, and the full table repairs it.
void request_table(membership& state, membership_actions& actions, time_point now)
{
    if (now < state.next_table_request) {
        return;
    }
    for (outgoing_message& each : actions.to_send) {
        if (each.vm && digest_differs_too_long(state, *each.vm, now)) {
            each.wants_full_table = true;
            const bool is_starting = now - state.started_at < state.limits.startup_period;
            state.next_table_request =
                now + jittered(state, is_starting ? state.limits.startup_table_request_interval
                                                  : state.limits.table_request_interval);
            return;
        }
    }
}

// A process that was suspended neither suspects members whose answers it could not read in time, nor lets
// suspicions expire that could not be refuted meanwhile.
void adjust_for_late_tick(membership& state, time_point now)
{
    const milliseconds late = now - state.last_tick;
    if (state.last_tick.count != 0 && late >= state.limits.late_tick_threshold) {
        state.probes.clear();
        for (auto& [vm, each] : state.others) {
            each.changed = each.changed + late;
        }
    }
    state.last_tick = now;
}

// A daemon that leaves too may end before it tells the others. A message says how its sender counts a
// receiver that is not alive, and nothing of a receiver that its sender does not know.
bool shows_own_leave(const membership& state, const member_message& message)
{
    const bool stays = is_live(message.sender) && message.sender.data_centre == state.self.data_centre;
    const auto is_own_leave = [&state](const member& each) {
        return each.vm == state.self.vm && each.state == member_state::left &&
               each.started >= state.self.started;
    };
    return stays && std::ranges::any_of(message.members, is_own_leave);
}

// Others that left before rely on this daemon for their notices, which are no more heard than its own.
membership_actions tell_leave(membership& state, time_point now)
{
    tell_departures_again(state);
    return gossip(state, now);
}

void repeat_leave(membership& state, membership_actions& actions, time_point now)
{
    if (is_leave_unheard(state)) {
        const std::vector<outgoing_message> again = tell_leave(state, now).to_send;
        actions.to_send.insert(actions.to_send.end(), again.begin(), again.end());
    }
}

} // namespace

membership_actions start(membership& state, time_point now)
{
    membership_actions actions;
    state.last_tick = now;
    state.started_at = now;
    state.next_probe = now + jittered(state, state.limits.probe_interval);
    state.next_relay = now + jittered(state, state.limits.relay_interval);
    state.next_rejoin = now + jittered(state, state.limits.probe_interval);
    for (const endpoint& seed : state.seeds) {
        if (seed != state.self.peer_address) {
            actions.to_send.push_back(message_to(seed, {}));
            actions.to_send.back().wants_full_table = true;
        }
    }
    return actions;
}

membership_actions on_tick(membership& state, time_point now)
{
    membership_actions actions;
    adjust_for_late_tick(state, now);
    check_probes(state, actions, now);
    check_suspects(state, actions, now);
    remove_expired_members(state, now);
    if (now >= state.next_probe) {
        probe_next(state, actions, now);
    }
    if (now >= state.next_relay) {
        relay(state, actions, now);
    }
    if (now >= state.next_rejoin) {
        rejoin(state, actions, now);
    }
    request_table(state, actions, now);
    repeat_leave(state, actions, now);
    return actions;
}

membership_actions on_message(membership& state, const member_message& message, time_point now)
{
    membership_actions actions;
    const incarnation before = state.self.started;
    merge_member(state, actions, message.sender, now);
    for (const member& each : message.members) {
        merge_member(state, actions, each, now);
    }
    if (state.self.started != before) {
        actions.to_send = gossip(state, now).to_send;
    }
    state.is_leave_heard = state.is_leave_heard || shows_own_leave(state, message);
    state.probes.erase(message.sender.vm);
    for (const member& each : message.confirmed) {
        state.probes.erase(each.vm);
    }
    if (message.sender.data_centre != state.self.data_centre) {
        state.last_heard[message.sender.data_centre] = now;
        state.relay_failures.erase(message.sender.data_centre);
    }
    if (const auto waiting = state.probe_requesters.find(message.sender.vm);
        waiting != state.probe_requesters.end()) {
        for (const endpoint& asker : waiting->second) {
            actions.to_send.push_back(message_to(asker, {}));
            actions.to_send.back().confirmed = {message.sender};
        }
        state.probe_requesters.erase(waiting);
    }
    if (message.probe && state.others.contains(message.probe->vm)) {
        state.probe_requesters[message.probe->vm].push_back(message.sender.peer_address);
        queue_message(state, actions, message.probe->vm);
    }
    if (message.digest == table_digest(state)) {
        state.digest_differs_since.erase(message.sender.data_centre);
    } else {
        state.digest_differs_since.try_emplace(message.sender.data_centre, now);
    }
    return actions;
}

membership_actions on_send_failed(membership& state, const outgoing_message& failed, time_point /*now*/)
{
    membership_actions actions;
    if (!failed.vm) {
        return actions;
    }
    state.probe_requesters.erase(*failed.vm);
    const auto found = state.others.find(*failed.vm);
    if (found != state.others.end() && found->second.info.data_centre != state.self.data_centre) {
        ++state.relay_failures[found->second.info.data_centre];
    }
    return actions;
}

membership_actions gossip(membership& state, time_point /*now*/)
{
    membership_actions actions;
    std::vector<vm_id> live = live_local_peers(state);
    shuffle(state, live);
    live.resize(std::min(live.size(), state.limits.gossip_fanout));
    for (const vm_id& vm : live) {
        queue_message(state, actions, vm);
    }
    if (is_chosen(state, "relay", relays_per_data_centre)) {
        relay_now(state, actions);
    }
    return actions;
}

membership_actions leave(membership& state, time_point now)
{
    state.self.state = member_state::left;
    return tell_leave(state, now);
}

bool is_leave_unheard(const membership& state)
{
    return state.self.state == member_state::left && !state.is_leave_heard &&
           !live_members(state, state.self.data_centre).empty();
}

std::vector<vm_id> live_members(const membership& state, const data_centre_id& data_centre)
{
    std::vector<vm_id> live;
    if (data_centre == state.self.data_centre && state.self.state == member_state::alive) {
        live.push_back(state.self.vm);
    }
    for (const auto& [vm, each] : state.others) {
        if (each.info.data_centre == data_centre && is_live(each.info)) {
            live.push_back(vm);
        }
    }
    return live;
}

bool is_chosen(const membership& state, std::string_view purpose, std::size_t count)
{
    const std::vector<vm_id> chosen =
        choose_by_rendezvous(live_members(state, state.self.data_centre), purpose, count);
    return std::ranges::find(chosen, state.self.vm) != chosen.end();
}

} // namespace dandelionstep
