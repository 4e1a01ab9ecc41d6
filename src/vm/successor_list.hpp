#pragma once

#include "common/clock.hpp"
#include "vm/peer.hpp"

#include <vector>

namespace dandelionstep {

//! A daemon that may take over from the reader that it follows.
struct successor_candidate {
    peer daemon;
    //! Rate at which its VM can answer other daemons, in Mbit/s.
    double capacity = 0;
};

//! The line of successors that a reader tells its followers. Dozens of followers may come to a reader within
//! milliseconds, because their own reader gave up its role, and the new reader may fail soon after. Therefore
//! all of them are told the same first successors, so that they agree on the next reader, and the line is
//! sorted by capacity only some seconds later. Among daemons of the same capacity, those in the line keep
//! their order when it is sorted.
struct successor_list {
    std::vector<peer> line;
    //! When the line was last sorted by capacity.
    time_point ranked_at{0};
};

//! Brings the line up to date with those that follow the reader now.
void update_successors(successor_list& successors, std::vector<successor_candidate> candidates,
                       time_point now);

} // namespace dandelionstep
