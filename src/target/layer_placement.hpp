#pragma once

#include "route/entry_config.hpp"
#include "target/target_registry.hpp"

#include <map>
#include <vector>

namespace dandelionstep {

//! Which layers each engine is to hold; engines that are missing keep what they hold.
using layer_placement = std::map<target_id, held_layers>;

//! Completes a placement: engines that hold layers keep them, and empty ones are given the layers that are
//! covered least in their data centre, the fastest engines first. Data centres too small to hold the model
//! alone are planned together. Where a layer is left without any engine, one whose layers are all held by
//! others is moved there.
layer_placement plan_layers(const engine_profile& profile, const std::vector<registered_target>& engines);

} // namespace dandelionstep
