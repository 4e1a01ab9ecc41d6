#pragma once

#include "daemon/context.hpp"
#include "report/burn_report.hpp"

#include <functional>
#include <vector>

namespace dandelionstep {

//! Keeps the daemon's burn counts in the platform's object store, and merges those of all daemons.
class report_store {
public:
    explicit report_store(daemon_context& context);

    //! Merges the counts of all daemons that wrote them; `done` is called once.
    void read_all(const std::vector<vm_id>& known_vms, std::function<void(const burn_report&)> done);
    //! Writes the daemon's counts now, for example before it stops; `done` learns whether they were stored.
    void write(std::function<void(bool stored)> done = nullptr);

private:
    struct reading;

    void read_next(const std::shared_ptr<reading>& run);
    void finish(const std::shared_ptr<reading>& run);
    [[nodiscard]] std::string own_name() const;

    daemon_context& context;
    event_loop::timer ticker;
};

//! The service levels that are declared, by model or service.
service_levels declared_levels(const declarations& declared);

} // namespace dandelionstep
