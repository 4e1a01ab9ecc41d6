#pragma once

#include "route/entry_config.hpp"
#include "target/target_registry.hpp"

#include <string>
#include <vector>

namespace dandelionstep {

//! Upper bounds on the load that engines can carry with the layers that they hold, over all possible
//! routings.
struct placement_bound {
    //! Tokens whose KV cache over all layers fits into the engines' memory at once.
    double tokens_in_memory = 0;
    //! Answer tokens per second, including the prefill of prompts of mean length; waiting, hops and the fixed
    //! part of a decode step are left out.
    double tokens_per_second = 0;
};

//! Finds the bounds by maximum flow from layers to the engines that hold them. They are zero if some layer is
//! held by no engine.
placement_bound find_placement_bound(const engine_profile& profile,
                                     const std::vector<registered_target>& engines);

} // namespace dandelionstep
