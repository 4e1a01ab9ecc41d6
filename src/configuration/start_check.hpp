#pragma once

#include "common/ids.hpp"

#include <algorithm>

namespace dandelionstep {

//! What a starting daemon has heard; it serves only with a configuration as new as any it could hear of.
struct start_check {
    //! The table answered, or could not be reached.
    bool store_asked = false;
    //! Every peer that was to be met first has answered, or could not be reached.
    bool peers_asked = false;
    //! The highest revision that the table or a peer has.
    revision highest;
    //! Set once and for all.
    bool passed = false;
};

//! Notes a revision that the table or a peer has.
inline void observe_revision(start_check& check, revision number)
{
    check.highest = std::max(check.highest, number);
}

//! Whether the daemon may serve with the applied revision. Revision 0, which declares nothing, serves nobody.
inline bool may_serve(start_check& check, revision applied)
{
    check.passed = check.passed ||
                   (check.store_asked && check.peers_asked && applied.value > 0 && applied >= check.highest);
    return check.passed;
}

} // namespace dandelionstep
