#pragma once

#include "route/layer_path.hpp"

#include <vector>

namespace dandelionstep {

//! Limits within which a path inside one data centre is used even if another path is faster.
struct local_path_limits {
    //! Longest estimated time between two events of a stream.
    double event_gap_ms = 100;
    //! Largest share of an engine's KV cache or entry slots in use, without the new request.
    double max_utilisation = 0.8;
};

//! Chooses a path inside the data centre where the request arrived, or inside that of the previous engine, if
//! it keeps the limits, and otherwise the fastest path over all candidates. A local path is not affected when
//! the link between data centres is cut or congested. Under bursts, when local engines exceed the limits,
//! requests spread over all data centres.
std::vector<path_part> choose_layer_path(const path_query& query,
                                         const std::vector<path_candidate>& candidates,
                                         const local_path_limits& limits);

//! Estimated time between two events of a stream on the path, from the decode steps in each event.
double event_gap_ms(const engine_profile& profile, const std::vector<path_part>& path,
                    const std::vector<path_candidate>& candidates);

} // namespace dandelionstep
