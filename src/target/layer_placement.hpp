#pragma once

#include "route/entry_config.hpp"
#include "target/target_registry.hpp"

#include <map>
#include <vector>

namespace dandelionstep {

//! The layers that engines are to hold; engines without an entry keep the layers that they hold.
using layer_placement = std::map<target_id, held_layers>;

//! Completes the placement of a model's layers. Engines that hold layers keep them; engines without layers
//! get those with the least capacity in their data centre, the fastest engines first. Data centres that are
//! too small to hold the model alone are planned together. If a layer is still without an engine, an engine
//! whose layers are all held by others as well is moved to it, or an engine beside it takes more layers.
layer_placement plan_layers(const engine_profile& profile, const std::vector<registered_target>& engines);

} // namespace dandelionstep
