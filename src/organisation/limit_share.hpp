#pragma once

#include <cstdint>
#include <vector>

namespace dandelionstep {

//! What one daemon knows of the demand of an organisation, for dividing a limit that holds across daemons.
struct limit_demand {
    //! Requests of the organisation that this daemon runs or has waiting.
    std::int64_t own = 0;
    //! The same of every other daemon that was heard of lately.
    std::vector<std::int64_t> others;
    //! All daemons that may serve the organisation, those cut off included; never less than those heard of.
    std::int64_t daemons = 1;
};

//! The part of the organisation's limit that this daemon may use now, without asking another one.
//! The parts of daemons with the same news add up to no more than the limit, and so do those on all sides of
//! a partition. With differing news each part stays under its even part plus half of the limit.
double limit_share(double limit, const limit_demand& demand);

} // namespace dandelionstep
