#pragma once

#include "common/clock.hpp"

#include <cstdint>
#include <vector>

namespace dandelionstep {

//! How many daemons share a budget. One that has stopped has used its share within the last window, and one
//! that can't be seen for a moment goes on using it, so a larger number counts for a window after a smaller
//! one.
struct sharer_count {
    struct known {
        std::int64_t count = 0;
        //! Until when it counts; `never` for the one that was heard last.
        time_point until = never;
    };
    //! From the largest to the one that was heard last.
    std::vector<known> numbers;
};

//! Notes the number that was heard now.
void note_sharers(sharer_count& sharers, std::int64_t count, time_point now, milliseconds window);

//! The largest number that still counts; 0 before the first was heard.
std::int64_t most_sharers(const sharer_count& sharers, time_point now);

} // namespace dandelionstep
