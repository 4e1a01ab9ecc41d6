#pragma once

#include "absl/status/statusor.h"
#include "common/json_types.hpp"
#include "target/registry_update.hpp"

#include <cstddef>
#include <string>

namespace dandelionstep {

//! Longest text that a packed part of a message between daemons may hold: some ten times what a list of all
//! targets, or the largest configuration, takes at the size designed for.
inline constexpr std::size_t most_unpacked_bytes = 32 << 20;

//! News of the registry as they stand in messages between daemons: a JSON object.
std::string registry_text(const registry_update& news);
//! The same packed, for daemons that take it so.
std::string packed_registry(const std::string& registry_text);

//! The news that an answer holds, plain or packed. Fails when they are damaged.
absl::StatusOr<registry_update> parse_registry(const json& answer);

} // namespace dandelionstep
