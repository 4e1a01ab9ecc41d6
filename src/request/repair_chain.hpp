#pragma once

#include "absl/status/statusor.h"
#include "route/chain.hpp"
#include "route/route_index.hpp"
#include "target/health.hpp"

#include <cstdint>
#include <set>

namespace dandelionstep {

//! Returns the broken chain with each excluded or ineligible hop replaced by an engine with the same layers,
//! so that the KV caches of the other hops can be reused. Unavailable when a hop has no replacement or the
//! model's variant has changed.
absl::StatusOr<chain> repair_chain(const route_index& index, const health_map& health, const chain& broken,
                                   const std::set<target_id>& excluded, std::uint64_t seed, time_point now);

} // namespace dandelionstep
