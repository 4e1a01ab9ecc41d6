#pragma once

#include "common/clock.hpp"
#include "common/ids.hpp"
#include "route/load_control.hpp"
#include "target/endpoint.hpp"
#include "vm/vm_capacity.hpp"

#include <cstdint>
#include <set>
#include <string>

namespace dandelionstep {

//! What the platform tells an entry daemon about its vm, its limits and the bounds that it must keep.
//! Defaults stand for fields that are absent.
struct entry_settings {
    vm_id vm;
    data_centre_id data_centre;
    endpoint callers;
    endpoint readiness;
    endpoint store;
    //! Where the data centre's other daemons ask this one; port 0 when they can't.
    endpoint peers;
    //! Address on which the metrics are served.
    std::string own_address;
    //! How often targets renew their registration.
    milliseconds heartbeat_interval{1'200};
    //! Time for which a target that leaves may still be sent requests.
    milliseconds drain_time{2'000};
    //! Time within which a change of the configuration must be in force.
    milliseconds configuration_time{2'000};
    //! Time after a disturbance from which the bounds hold again.
    milliseconds stability_window{3'000};
    //! Time between SIGTERM and SIGKILL.
    milliseconds grace_period{8'000};
    //! How long an event of a stream may take on its way through the daemon.
    milliseconds pass_time{120};
    //! How long work that depends on a dead engine stalls before the engine gives it up.
    milliseconds stall_time{3'000};
    //! Retries that are allowed for each request, over all daemons.
    double retry_ratio = 0.2;
    //! Retries that are allowed besides in each window, over all daemons.
    double retry_slack = 100;
    milliseconds retry_window{10'000};
    //! No target that asks for a rest is left alone for longer.
    milliseconds longest_rest{86'400'000};
    //! Most bytes of a row's value in the store.
    std::int64_t max_row_bytes = 65'536;
    //! What the vm has for this daemon.
    vm_capacity capacity;
    //! Set on the command line; not part of the settings file.
    load_control_mode load_control = load_control_mode::automatic;
    //! Whether new streams also wait for room under load control, and retries are counted by windows. Set on
    //! the command line.
    bool queues_streams = false;
    //! Whether all daemons start for the first time: nobody reads the store yet.
    bool is_first_start = false;
    std::int64_t memory_mb = 128;
    std::int64_t file_descriptors = 1'024;
};

} // namespace dandelionstep
