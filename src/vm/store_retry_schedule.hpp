#pragma once

#include <cstdint>

namespace dandelionstep {

//! Which daemons of a data centre try the store while their reader, and those in line after it, don't reach
//! it. Answers two loads: a store that lets in a few of them, which are found within some rounds, and one
//! that lets in nobody, at which they must not knock by dozens. Each daemon tries once in the first rounds, a
//! few of them after each; from then on two of them a round, and each again once all others have tried.
struct store_retry_schedule {
    //! Rounds that have ended in the present cycle.
    std::int64_t round = 0;
    //! This daemon's place in the present cycle, in [0, 1]; only once it is drawn.
    double position = 0;
    bool has_position = false;
    bool is_first_cycle = true;
};

//! Whether this daemon tries the store after the round that has just ended. `draw` is uniform in [0, 1),
//! `siblings` the number of daemons of the data centre.
bool should_try_store(store_retry_schedule& schedule, std::int64_t siblings, double draw);

} // namespace dandelionstep
