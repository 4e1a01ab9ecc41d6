#pragma once

#include <cstdint>
#include <vector>

namespace dandelionstep {

//! What one daemon knows of an organisation's demand, for dividing a limit that applies to all daemons
//! together.
struct limit_demand {
    //! Requests of the organisation that are running or waiting on this daemon.
    std::int64_t own = 0;
    //! The same number for each other daemon that reported lately.
    std::vector<std::int64_t> others;
    //! Number of all daemons that may serve the organisation, including those that are cut off. If it is less
    //! than the number of daemons that reported, this one included, the latter counts.
    std::int64_t daemons = 1;
};

//! The part of the organisation's limit that this daemon may use now without asking another daemon. The parts
//! of daemons with the same reports add up to no more than the limit, and so do the parts on all sides of a
//! partition. With differing reports, each part is at most the daemon's even part plus half of the limit.
double limit_share(double limit, const limit_demand& demand);

} // namespace dandelionstep
