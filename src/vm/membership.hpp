#pragma once

#include "common/clock.hpp"
#include "vm/member.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace dandelionstep {

//! Times and bounds of failure detection.
struct membership_limits {
    milliseconds probe_interval{1000};
    //! How long a direct probe may take before others are asked to probe.
    milliseconds probe_timeout{400};
    std::size_t indirect_probes = 3;
    //! How long a suspect has to refute.
    milliseconds suspicion{5000};
    milliseconds relay_interval{2000};
    //! How often somebody who is not a live member is tried: a seed, or a member that was declared dead.
    milliseconds rejoin_interval{5000};
    //! How often at most the whole member table is asked for.
    milliseconds table_request_interval{10'000};
    //! How long tables may differ before the whole table is asked for: news is probably on its way.
    milliseconds table_request_delay{5000};
    //! How long a daemon that has just started asks at once.
    milliseconds startup_period{30'000};
    milliseconds startup_table_request_interval{2000};
    milliseconds dead_retention{600'000};
    //! How long members of a data centre are remembered that nothing was heard of.
    milliseconds unheard_retention{86'400'000};
    //! A process that did not run for this long draws no conclusions from its own timeouts.
    milliseconds late_tick_threshold{2000};
    std::size_t max_members = 2000;
    std::size_t updates_per_message = 16;
    std::size_t gossip_fanout = 3;
};

//! Daemons of each data centre that speak with the other ones.
inline constexpr std::size_t relays_per_data_centre = 2;

//! Another daemon, and how often news of it is still to be told.
struct known_member {
    member info;
    time_point changed;
    int transmissions_left = 0;
    int remote_transmissions_left = 0;
};

//! A probe that was not answered yet.
struct pending_probe {
    time_point sent_at;
    bool indirect = false;
};

//! What a daemon knows of the others, and what it is waiting for.
struct membership {
    member self;
    std::uint64_t seed = 0;
    membership_limits limits;
    std::vector<endpoint> seeds;
    std::map<vm_id, known_member> others;
    std::map<vm_id, pending_probe> probes;
    //! Daemons that asked for a probe of the key.
    std::map<vm_id, std::vector<endpoint>> probe_requesters;
    std::deque<vm_id> probe_order;
    //! When something was last heard from each other data centre, and how often its relays failed in a row.
    std::map<data_centre_id, time_point> last_heard;
    std::map<data_centre_id, std::size_t> relay_failures;
    time_point next_probe;
    time_point next_relay;
    time_point next_rejoin;
    time_point next_table_request;
    time_point last_tick;
    //! Since when every digest that was heard from the data centre differs from this daemon's own.
    std::map<data_centre_id, time_point> digest_differs_since;
    time_point started_at;
};

//! What a daemon says to another one about members.
struct member_message {
    member sender;
    std::vector<member> members;
    std::uint64_t digest = 0;
    bool wants_full_table = false;
    std::optional<member> probe;
    std::vector<member> confirmed;
};

//! A message to send; its failure and its answer are events.
struct outgoing_message {
    endpoint to;
    //! The member that is expected there, where it is known.
    std::optional<vm_id> vm;
    bool wants_full_table = false;
    std::optional<member> probe;
    std::vector<member> confirmed;
};

//! What to send, and which members have another state now.
struct membership_actions {
    std::vector<outgoing_message> to_send;
    std::vector<member> changed;
};

//! Whether the news replaces what is known: a higher incarnation, or a worse state of the same one.
bool supersedes(const member& update, const member& known);

membership_actions start(membership& state, time_point now);
//! To be called about ten times a second.
membership_actions on_tick(membership& state, time_point now);
//! A peer's question or answer arrived.
membership_actions on_message(membership& state, const member_message& message, time_point now);
//! A message did not arrive, or its answer did not.
membership_actions on_send_failed(membership& state, const outgoing_message& failed, time_point now);
//! Something new should be known everywhere soon.
membership_actions gossip(membership& state, time_point now);
//! The daemon leaves; it refutes nothing from now on.
membership_actions leave(membership& state, time_point now);

//! What to say to the receiver (none: not known who it is); news is told a bounded number of times.
member_message make_message(membership& state, const std::optional<vm_id>& receiver, bool full_table);

//! Members of the data centre that may be alive, this daemon included.
std::vector<vm_id> live_members(const membership& state, const data_centre_id& data_centre);
//! Whether this daemon is among the `count` of its data centre that rank first for the purpose.
bool is_chosen(const membership& state, std::string_view purpose, std::size_t count);

} // namespace dandelionstep
