#pragma once

#include "route/layer_path.hpp"

#include <vector>

namespace dandelionstep {

//! Up to where a path that stays inside one data centre is good enough.
struct local_path_limits {
    //! Longest estimated time between two events of a stream on the path.
    double event_gap_ms = 100;
    //! Largest share of an engine's memory or places that is taken before the path is.
    double max_utilisation = 0.8;
};

//! A path inside the caller's data centre, or inside that of the engine before, as long as it keeps the
//! limits; else the fastest path of all. A cut between data centres and a congested link between them leave
//! the first kind alone. It answers the load of calm hours; under bursts requests spread over all data
//! centres.
std::vector<path_part> choose_layer_path(const path_query& query,
                                         const std::vector<path_candidate>& candidates,
                                         const local_path_limits& limits);

//! Estimated time between two events on the path, `steps` token steps each.
double event_gap_ms(const engine_profile& profile, const std::vector<path_part>& path,
                    const std::vector<path_candidate>& candidates);

} // namespace dandelionstep
