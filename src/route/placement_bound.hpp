#pragma once

#include "route/entry_config.hpp"
#include "target/target_registry.hpp"

#include <string>
#include <vector>

namespace dandelionstep {

//! The most that engines can carry with the layers that they hold, however requests are led through them.
struct placement_bound {
    //! Tokens of requests, each over all layers, whose memory fits at once.
    double tokens_in_memory = 0;
    //! Answer tokens a second, with the reading of usual prompts; without waiting, hops and fixed costs of a
    //! step.
    double tokens_per_second = 0;
};

//! Finds the bound by maximum flow from layers to the engines that hold them. Zero when some layer is held by
//! none.
placement_bound find_placement_bound(const engine_profile& profile,
                                     const std::vector<registered_target>& engines);

} // namespace dandelionstep
