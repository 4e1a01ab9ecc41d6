#pragma once

#include "vm/membership.hpp"

#include <cstdint>
#include <set>
#include <utility>

namespace dandelionstep {

//! Alive, or suspected and not yet declared dead.
inline bool is_live(const member& each)
{
    return each.state == member_state::alive || each.state == member_state::suspect;
}

//! The next number of the state's own random sequence.
std::uint64_t next_random(membership& state);
//! A random time between three quarters and five quarters of the interval, so that daemons don't act in step.
milliseconds jittered(membership& state, milliseconds interval);

template <class T>
void shuffle(membership& state, std::vector<T>& list)
{
    for (std::size_t left = list.size(); left > 1; --left) {
        std::swap(list[left - 1], list[next_random(state) % left]);
    }
}

//! Merges an update about a member if it supersedes what is known. An update that calls this daemon suspect,
//! dead or left, or gives it a higher incarnation, is refuted by a still higher one.
void merge_member(membership& state, membership_actions& actions, const member& update, time_point now);
//! Has the next messages to this data centre carry again which members left.
void tell_departures_again(membership& state);
//! Removes members that died or left long ago, and those of data centres that have sent nothing for very
//! long.
void remove_expired_members(membership& state, time_point now);
//! Digest of the live members; it is equal on daemons that know the same ones.
std::uint64_t table_digest(const membership& state);
std::set<data_centre_id> other_data_centres(const membership& state);

} // namespace dandelionstep
