#pragma once

#include "adapters/vm_list_client.hpp"
#include "daemon/context.hpp"
#include "daemon/group.hpp"

namespace dandelionstep {

//! Asks the targets of the daemon's own data centre for their load, and the platform which VMs are leaving.
class target_observer {
public:
    target_observer(daemon_context& context, const group& peers);

private:
    void observe_all();
    void note(const target_id& target, const std::optional<load_report>& report);
    void read_vms();
    void note(const vm_list& list);
    //! Whether this daemon is one of the few in its data centre that read the list often.
    [[nodiscard]] bool reads_vms_often() const;

    daemon_context& context;
    const group& peers;
    event_loop::timer ticker;
    event_loop::timer vms_ticker;
};

} // namespace dandelionstep
