#pragma once

#include "daemon/context.hpp"

namespace dandelionstep {

//! Asks the targets of the daemon's own data centre for their load.
class target_observer {
public:
    explicit target_observer(daemon_context& context);

private:
    void observe_all();
    void note(const target_id& target, const std::optional<load_report>& report);

    daemon_context& context;
    event_loop::timer ticker;
};

} // namespace dandelionstep
