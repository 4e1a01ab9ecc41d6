#pragma once

#include "adapters/peer_node.hpp"
#include "daemon/configuration_sync.hpp"
#include "daemon/context.hpp"
#include "vm/membership.hpp"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace dandelionstep {

//! One kind of state that daemons share. Its merge must be commutative, associative and idempotent, and what
//! it adds to a message must be bounded.
struct shared_kind {
    //! Adds what peers should know.
    std::function<void(wire::ExchangeMessage& message)> fill;
    //! Merges what a peer said; news that must travel at once calls group::spread_soon().
    std::function<void(const wire::ExchangeMessage& message)> take;
};

//! What the group's messages cost since the start.
struct group_traffic {
    std::int64_t messages = 0;
    byte_count sent;
    byte_count received;
};

//! The daemon's part in the group: carries out what membership decides, and brings shared state along.
class group {
public:
    group(daemon_context& context, configuration_sync& configuration);

    absl::Status start();
    //! Plugs in a kind of shared state; call before start().
    void share(shared_kind kind) { this->kinds.push_back(std::move(kind)); }
    //! Tells peers soon that there is news, for example a newer configuration.
    void spread_soon();
    //! Tells the peers that this daemon leaves, again and again until one that stays has heard it.
    void leave();
    //! Whether a peer of this data centre has still to hear that this daemon leaves.
    [[nodiscard]] bool is_leave_unheard() const { return dandelionstep::is_leave_unheard(this->state); }
    //! What each daemon that may be alive can read.
    [[nodiscard]] std::vector<schema_reader> schema_readers() const;
    //! Every other daemon known, with its state; dead and left ones are forgotten after a while.
    [[nodiscard]] std::map<vm_id, member> members() const;
    [[nodiscard]] const group_traffic& traffic() const { return this->counted; }

private:
    void tick();
    void poll_vm_list();
    void carry_out(const membership_actions& actions);
    void send(const outgoing_message& to);
    void count_received(const wire::ExchangeMessage& message);
    wire::ExchangeMessage answer(const wire::ExchangeMessage& question);
    [[nodiscard]] wire::ExchangeMessage make_message(const std::optional<vm_id>& receiver, bool everything);
    void push_configuration(wire::ExchangeMessage& message, const std::optional<vm_id>& receiver) const;
    void add_configuration(wire::ExchangeMessage& message, revision receiver_revision);
    void take(const wire::ExchangeMessage& message);
    void take_configuration(const wire::ExchangeMessage& message);
    void pull_configuration(const member& from, revision offered);
    void note_met(const endpoint& peer);

    daemon_context& context;
    configuration_sync& configuration;
    peer_node node;
    std::vector<shared_kind> kinds;
    membership state;
    std::map<vm_id, revision> revision_of;
    //! Peers that were to be met first and did not answer or fail yet.
    std::set<endpoint> unmet;
    group_traffic counted;
    time_point next_snapshot;
    time_point next_pull;
    event_loop::timer ticker;
    event_loop::timer spreading;
    event_loop::timer next_vm_list;
    bool spread_due = false;
};

} // namespace dandelionstep
