#pragma once

#include "route/layer_path.hpp"

#include <vector>

namespace dandelionstep {

//! The length of a request in tokens.
struct request_size {
    double prompt_tokens = 0;
    //! Prompt and answer together.
    double total_tokens = 0;
};

//! How a request is expected to fare on a path.
struct path_outlook {
    //! Highest share in use of the KV cache of the path's engines, or of the first one's entry slots, with
    //! the request; may exceed 1.
    double use = 0;
    //! Prefill on all engines of the path and the first steps.
    double first_event_ms = 0;
    double event_gap_ms = 0;
};

//! The outlook of a request of this size on the path, whose engines are among the candidates.
path_outlook outlook_of(const engine_profile& profile, const std::vector<path_part>& path,
                        const std::vector<path_candidate>& candidates, const request_size& size);

} // namespace dandelionstep
