#pragma once

#include "common/clock.hpp"
#include "vm/member.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace dandelionstep {

//! Intervals, timeouts and bounds of the membership protocol.
struct membership_limits {
    milliseconds probe_interval{1000};
    //! How long a direct probe may stay unanswered before other members are asked to probe.
    milliseconds probe_timeout{400};
    std::size_t indirect_probes = 3;
    //! How long a suspect has to refute the suspicion before it is declared dead.
    milliseconds suspicion{5000};
    //! Interval between messages to the other data centres.
    milliseconds relay_interval{2000};
    //! Interval between attempts to reach an address without a live member: a seed, or a member that was
    //! declared dead.
    milliseconds rejoin_interval{5000};
    //! Minimum interval between requests for the full member table.
    milliseconds table_request_interval{10'000};
    //! How long digests of tables may differ before the full table is requested. Until then the missing
    //! updates are probably in transit.
    milliseconds table_request_delay{5000};
    //! How long after its start a daemon requests the full table without that delay.
    milliseconds startup_period{30'000};
    milliseconds startup_table_request_interval{2000};
    //! How long members that are dead or have left are kept.
    milliseconds dead_retention{600'000};
    //! How long members of another data centre are kept after the last message from it.
    milliseconds unheard_retention{86'400'000};
    //! Gap between two ticks from which this process counts as having been suspended. It then draws no
    //! conclusions from timeouts that ran out meanwhile.
    milliseconds late_tick_threshold{2000};
    std::size_t max_members = 2000;
    std::size_t updates_per_message = 16;
    std::size_t gossip_fanout = 3;
};

//! Number of daemons in each data centre that exchange messages with other data centres.
inline constexpr std::size_t relays_per_data_centre = 2;

//! Another daemon, and how often its latest update is still to be sent.
struct known_member {
    member info;
    //! When the latest update was merged.
    time_point changed;
    //! Transmissions left to members of this daemon's data centre.
    int transmissions_left = 0;
    //! Transmissions left to members of other data centres.
    int remote_transmissions_left = 0;
};

//! A probe that has not been answered yet.
struct pending_probe {
    time_point sent_at;
    //! Whether other members have been asked to probe as well.
    bool indirect = false;
};

//! One daemon's membership state: the daemons that it knows, and the answers that it waits for.
struct membership {
    member self;
    //! State of the random sequence.
    std::uint64_t seed = 0;
    membership_limits limits;
    //! Addresses through which this daemon joins the group.
    std::vector<endpoint> seeds;
    std::map<vm_id, known_member> others;
    std::map<vm_id, pending_probe> probes;
    //! Addresses of the daemons that asked this one to probe the member.
    std::map<vm_id, std::vector<endpoint>> probe_requesters;
    std::deque<vm_id> probe_order;
    //! When the last message came from each other data centre, and how many messages to it have failed since.
    std::map<data_centre_id, time_point> last_heard;
    std::map<data_centre_id, std::size_t> relay_failures;
    time_point next_probe;
    time_point next_relay;
    time_point next_rejoin;
    time_point next_table_request;
    time_point last_tick;
    //! Since when every digest that came from the data centre has differed from this daemon's own.
    std::map<data_centre_id, time_point> digest_differs_since;
    time_point started_at;
    //! Whether a daemon of this data centre that stays knows that this one leaves.
    bool is_leave_heard = false;
};

//! The membership part of a message between two daemons.
struct member_message {
    member sender;
    std::vector<member> members;
    //! Digest of the sender's live members.
    std::uint64_t digest = 0;
    //! Whether the answer should contain the full member table.
    bool wants_full_table = false;
    //! A member that the receiver should probe for the sender.
    std::optional<member> probe;
    //! Members that have answered the sender's probe on the receiver's behalf.
    std::vector<member> confirmed;
};

//! A message to send. The caller reports the answer with on_message(), or the failure with on_send_failed().
struct outgoing_message {
    endpoint to;
    //! The member that is expected at the address, if it is known.
    std::optional<vm_id> vm;
    bool wants_full_table = false;
    std::optional<member> probe;
    std::vector<member> confirmed;
};

//! Messages to send, and members whose state has changed.
struct membership_actions {
    std::vector<outgoing_message> to_send;
    std::vector<member> changed;
};

//! Whether the update replaces what is known: it has a higher incarnation, or the same one and a later state.
bool supersedes(const member& update, const member& known);

//! Joins the group through the seeds.
membership_actions start(membership& state, time_point now);
//! Handles timeouts and sends what is due; to be called about ten times a second.
membership_actions on_tick(membership& state, time_point now);
//! Handles a peer's request or answer.
membership_actions on_message(membership& state, const member_message& message, time_point now);
//! Handles a message that was not delivered or not answered.
membership_actions on_send_failed(membership& state, const outgoing_message& failed, time_point now);
//! Sends messages to a few members at once, so that an update is soon known everywhere.
membership_actions gossip(membership& state, time_point now);
//! Announces that this daemon leaves; from now on it refutes nothing. on_tick() repeats it until it is heard.
membership_actions leave(membership& state, time_point now);
//! Whether a live member of this data centre has still to hear that this daemon leaves.
bool is_leave_unheard(const membership& state);

//! Makes a message for the receiver; `receiver` is unset if only its address is known. The message carries
//! the full table, or those recent updates that were sent least often. Each update is sent a bounded number
//! of times.
member_message make_message(membership& state, const std::optional<vm_id>& receiver, bool full_table);

//! Members of the data centre that may be alive, this daemon included.
std::vector<vm_id> live_members(const membership& state, const data_centre_id& data_centre);
//! Whether this daemon is among the `count` live members of its data centre that rank first for the purpose.
bool is_chosen(const membership& state, std::string_view purpose, std::size_t count);

} // namespace dandelionstep
