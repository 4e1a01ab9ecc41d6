#pragma once

#include "common/ids.hpp"
#include "target/target_condition.hpp"
#include "target/target_registry.hpp"

#include <cstdint>

namespace dandelionstep {

//! Number of layers, out of the model's `layers`, that no usable engine of the service holds.
std::int64_t uncovered_layers(const target_registry& registry, const target_conditions& conditions,
                              const service_id& service, std::int64_t layers, time_point now);

//! Number of usable engines of the service that hold the layer which fewest hold; of a service without
//! layers, the number of its usable targets.
std::int64_t least_holders(const target_registry& registry, const target_conditions& conditions,
                           const service_id& service, std::int64_t layers, time_point now);

} // namespace dandelionstep
