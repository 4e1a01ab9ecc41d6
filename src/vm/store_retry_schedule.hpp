#pragma once

#include <cstdint>

namespace dandelionstep {

//! Decides which daemons of a data centre try to call the store while neither their reader nor its successors
//! reach it. Covers two failures: a store that accepts calls of only a few daemons, which are found within
//! some rounds, and a store that accepts none, which dozens of daemons must not call at the same time. In the
//! first cycle a few daemons try in each round until each has tried once. In the later cycles two daemons try
//! in each round, and each tries again after all others have.
struct store_retry_schedule {
    //! Rounds that have ended in the present cycle.
    std::int64_t round = 0;
    //! This daemon's random position in the present cycle, in [0, 1]; valid if `has_position` is set.
    double position = 0;
    bool has_position = false;
    bool is_first_cycle = true;
};

//! Whether this daemon tries the store after the round that has just ended. `draw` is uniform in [0, 1),
//! `siblings` the number of daemons of the data centre.
bool should_try_store(store_retry_schedule& schedule, std::int64_t siblings, double draw);

} // namespace dandelionstep
