#pragma once

#include "common/clock.hpp"
#include "vm/peer.hpp"

#include <vector>

namespace dandelionstep {

//! A daemon that may take over from the reader that it follows.
struct successor_candidate {
    peer daemon;
    //! What its vm can answer, in Mbit/s.
    double capacity = 0;
};

//! The line of successors that a reader tells its followers. Answers the load of dozens of followers that
//! come within milliseconds, as their own reader gave way, to one that fails soon after: each is told the
//! same beginning of the line, so that they agree who is next. The ablest go first only some seconds later.
struct successor_list {
    std::vector<peer> line;
    time_point ranked_at{0};
};

//! Brings the line up to date with those that follow the reader now.
void update_successors(successor_list& successors, std::vector<successor_candidate> candidates,
                       time_point now);

} // namespace dandelionstep
