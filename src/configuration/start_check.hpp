#pragma once

#include "common/ids.hpp"

#include <algorithm>

namespace dandelionstep {

//! Decides when a starting daemon may serve: once its configuration is as new as any that the table or a
//! reachable peer has.
struct start_check {
    //! The table has answered, or could not be reached.
    bool store_asked = false;
    //! All peers to contact at startup have answered, or could not be reached.
    bool peers_asked = false;
    //! The highest revision that the table or a peer reported.
    revision highest;
    //! Never reset once set, so a newer revision elsewhere doesn't take a serving daemon out of service.
    bool passed = false;
};

//! Records a revision that the table or a peer reported.
inline void observe_revision(start_check& check, revision number)
{
    check.highest = std::max(check.highest, number);
}

//! Whether the daemon may serve with the applied revision; never with revision 0, which declares nothing.
inline bool may_serve(start_check& check, revision applied)
{
    check.passed = check.passed ||
                   (check.store_asked && check.peers_asked && applied.value > 0 && applied >= check.highest);
    return check.passed;
}

} // namespace dandelionstep
