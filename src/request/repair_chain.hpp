#pragma once

#include "absl/status/statusor.h"
#include "route/chain.hpp"
#include "route/route_index.hpp"
#include "target/health.hpp"

#include <cstdint>
#include <set>

namespace dandelionstep {

//! The broken chain with each excluded or ineligible hop replaced by an engine of the same layers, so that
//! the other hops' KV caches stay of use. Unavailable when a hop has no replacement or the variant has
//! changed.
absl::StatusOr<chain> repair_chain(const route_index& index, const health_map& health, const chain& broken,
                                   const std::set<target_id>& excluded, std::uint64_t seed, time_point now);

} // namespace dandelionstep
