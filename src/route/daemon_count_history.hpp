#pragma once

#include "common/clock.hpp"

#include <cstdint>
#include <vector>

namespace dandelionstep {

//! How many daemons share a budget. One that has stopped has used its share within the last window, and one
//! that can't be seen for a moment goes on using it, so a larger number counts for a window after a smaller
//! one.
struct daemon_count_history {
    struct entry {
        std::int64_t count = 0;
        //! Until when it counts; `never` for the one that was heard last.
        time_point until = never;
    };
    //! From the largest to the one that was heard last.
    std::vector<entry> counts;
};

//! Notes the number that was heard now.
void record_daemon_count(daemon_count_history& sharers, std::int64_t count, time_point now,
                         milliseconds window);

//! The largest number that still counts; 0 before the first was heard.
std::int64_t max_recent_daemon_count(const daemon_count_history& sharers, time_point now);

} // namespace dandelionstep
