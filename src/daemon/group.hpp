#pragma once

#include "adapters/peer_node.hpp"
#include "daemon/configuration_sync.hpp"
#include "daemon/context.hpp"
#include "vm/member.hpp"

#include <map>

namespace dandelionstep {

//! The daemon's part in the group: exchanges members and configuration with its peers.
class group {
public:
    group(daemon_context& context, configuration_sync& configuration);

    absl::Status start();
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
    std::map<vm_id, member> known;
    std::map<vm_id, revision> revision_of;
    event_loop::timer next_round;
};

} // namespace dandelionstep
