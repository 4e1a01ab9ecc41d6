#pragma once

#include "common/clock.hpp"
#include "common/ids.hpp"

#include <map>

namespace dandelionstep {

//! Processes of targets that were found ended, as nobody listens at their address any more. The registry says
//! so only some heartbeats later.
struct ended_processes {
    struct ended_process {
        incarnation started;
        time_point found_at;
    };

    //! By then the registration has lapsed, or a renewal shows that the process is alive.
    milliseconds validity{6'000};
    //! The newest one of each target.
    std::map<target_id, ended_process> newest;
};

//! Notes that the process was found ended at that time; true if that was not known.
bool note_ended(ended_processes& ended, const target_id& target, incarnation started, time_point found_at,
                time_point now);

//! Whether the target's process that began then is known to have ended.
bool has_ended(const ended_processes& ended, const target_id& target, incarnation started, time_point now);

} // namespace dandelionstep
