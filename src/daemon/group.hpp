#pragma once

#include "adapters/peer_node.hpp"
#include "daemon/configuration_sync.hpp"
#include "daemon/context.hpp"
#include "vm/member.hpp"

#include <functional>
#include <map>
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

//! The daemon's part in the group: exchanges members and configuration with its peers.
class group {
public:
    group(daemon_context& context, configuration_sync& configuration);

    absl::Status start();
    //! Plugs in a kind of shared state; call before start().
    void share(shared_kind kind) { this->kinds.push_back(std::move(kind)); }
    //! Tells peers soon that there is news, for example a newer configuration.
    void spread_soon();
    [[nodiscard]] const std::map<vm_id, member>& members() const { return this->known; }

private:
    wire::ExchangeMessage answer(const wire::ExchangeMessage& question);
    [[nodiscard]] wire::ExchangeMessage make_message(revision receiver_revision) const;
    void take(const wire::ExchangeMessage& message);
    void exchange_round();

    daemon_context& context;
    configuration_sync& configuration;
    peer_node node;
    std::vector<shared_kind> kinds;
    std::map<vm_id, member> known;
    std::map<vm_id, revision> revision_of;
    event_loop::timer next_round;
};

} // namespace dandelionstep
