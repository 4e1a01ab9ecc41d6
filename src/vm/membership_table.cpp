#include "vm/membership_table.hpp"

#include "absl/strings/str_cat.h"
#include "common/hash.hpp"

#include <algorithm>
#include <bit>
#include <functional>
#include <tuple>

namespace dandelionstep {
namespace {

// An update reaches every member with high probability if each member sends it a few times the logarithm of
// the group's size.
int transmissions_for(std::size_t members)
{
    constexpr int rounds = 3;
    return rounds * static_cast<int>(std::bit_width(members + 1));
}

void refute(membership& state, const member& update)
{
    const bool worse = update.state != member_state::alive && update.started >= state.self.started;
    if (state.self.state != member_state::left && (worse || update.started > state.self.started)) {
        state.self.started = update.started + incarnation{1};
    }
}

void store_member(membership& state, membership_actions& actions, const member& update, time_point now)
{
    known_member& entry = state.others[update.vm];
    const bool state_changed = entry.info.vm != update.vm || entry.info.state != update.state;
    const int transmissions_left = transmissions_for(state.others.size());
    entry = {update, now, transmissions_left, transmissions_left};
    if (state_changed) {
        actions.changed.push_back(update);
    }
}

std::uint64_t digest_of(const member& each)
{
    return hash_of(absl::StrCat(each.vm.value, "@", each.started.value));
}

// Updates with the most transmissions left come first.
std::vector<known_member*> least_transmitted(membership& state, bool is_remote)
{
    const auto left = [is_remote](const known_member& each) {
        return is_remote ? each.remote_transmissions_left : each.transmissions_left;
    };
    std::vector<known_member*> updates;
    for (auto& [vm, each] : state.others) {
        if (left(each) > 0) {
            updates.push_back(&each);
        }
    }
    std::ranges::stable_sort(updates, std::greater<>(),
                             [&](const known_member* each) { return left(*each); });
    updates.resize(std::min(updates.size(), state.limits.updates_per_message));
    return updates;
}

} // namespace

bool supersedes(const member& update, const member& known)
{
    return std::tie(update.started, update.state) > std::tie(known.started, known.state);
}

std::uint64_t next_random(membership& state)
{
    state.seed = hash_of(state.self.vm.value, state.seed);
    return state.seed;
}

milliseconds jittered(membership& state, milliseconds interval)
{
    const auto half = static_cast<std::uint64_t>(interval.count / 2);
    return interval * 3 / 4 + milliseconds{static_cast<std::int64_t>(next_random(state) % (half + 1))};
}

void merge_member(membership& state, membership_actions& actions, const member& update, time_point now)
{
    if (update.vm == state.self.vm) {
        refute(state, update);
        return;
    }
    // The death of an unknown member is ignored; otherwise such entries would circulate for ever.
    const auto found = state.others.find(update.vm);
    const bool is_update = found == state.others.end()
                               ? is_live(update) && state.others.size() < state.limits.max_members
                               : supersedes(update, found->second.info);
    if (is_update) {
        store_member(state, actions, update, now);
        state.last_heard.try_emplace(update.data_centre, now);
    }
}

void tell_departures_again(membership& state)
{
    for (auto& [vm, each] : state.others) {
        if (each.info.state == member_state::left) {
            each.transmissions_left = transmissions_for(state.others.size());
        }
    }
}

void remove_expired_members(membership& state, time_point now)
{
    std::erase_if(state.others, [&](const auto& entry) {
        const known_member& each = entry.second;
        const auto last_heard = state.last_heard.find(each.info.data_centre);
        const bool is_unheard = each.info.data_centre != state.self.data_centre &&
                                last_heard != state.last_heard.end() &&
                                now - last_heard->second >= state.limits.unheard_retention;
        return is_unheard || (!is_live(each.info) && now - each.changed >= state.limits.dead_retention);
    });
}

std::uint64_t table_digest(const membership& state)
{
    std::uint64_t digest = is_live(state.self) ? digest_of(state.self) : 0;
    for (const auto& [vm, each] : state.others) {
        digest += is_live(each.info) ? digest_of(each.info) : 0;
    }
    return digest;
}

std::set<data_centre_id> other_data_centres(const membership& state)
{
    std::set<data_centre_id> all;
    for (const auto& [vm, each] : state.others) {
        if (each.info.data_centre != state.self.data_centre) {
            all.insert(each.info.data_centre);
        }
    }
    return all;
}

member_message make_message(membership& state, const std::optional<vm_id>& receiver, bool full_table)
{
    member_message message{.sender = state.self,
                           .members = {},
                           .digest = table_digest(state),
                           .wants_full_table = false,
                           .probe = {},
                           .confirmed = {}};
    const auto found = receiver ? state.others.find(*receiver) : state.others.end();
    const bool is_remote =
        found != state.others.end() && found->second.info.data_centre != state.self.data_centre;
    // A receiver that does not count as alive has to be told, or it could not refute.
    if (found != state.others.end() && found->second.info.state != member_state::alive) {
        message.members.push_back(found->second.info);
    }
    if (full_table) {
        for (const auto& [vm, each] : state.others) {
            message.members.push_back(each.info);
        }
        return message;
    }
    for (known_member* each : least_transmitted(state, is_remote)) {
        message.members.push_back(each->info);
        --(is_remote ? each->remote_transmissions_left : each->transmissions_left);
    }
    return message;
}

} // namespace dandelionstep
