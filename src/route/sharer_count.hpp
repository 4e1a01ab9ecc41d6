#pragma once

#include "common/clock.hpp"

#include <cstdint>
#include <vector>

namespace dandelionstep {

//! Recent counts of the daemons that share a retry budget. A daemon that has stopped may have used its share
//! within the last window, and one that can't be seen for a moment goes on using it; so a larger count
//! remains valid for one window after a smaller one was recorded.
struct daemon_count_history {
    struct entry {
        std::int64_t count = 0;
        //! End of its validity; `never` for the latest count.
        time_point until = never;
    };
    //! From the largest to the latest.
    std::vector<entry> counts;
};

//! Records the present count.
void record_daemon_count(daemon_count_history& history, std::int64_t count, time_point now,
                         milliseconds window);

//! The largest count that is still valid; 0 if none was recorded.
std::int64_t max_recent_daemon_count(const daemon_count_history& history, time_point now);

} // namespace dandelionstep
