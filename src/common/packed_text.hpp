#pragma once

#include "absl/status/statusor.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace dandelionstep {

//! The text compressed (zlib) and written in base64, so that it can stand in JSON.
std::string pack_text(std::string_view text);

//! The text that was packed. Fails when it is none, or longer than `most_bytes`.
absl::StatusOr<std::string> unpack_text(std::string_view packed, std::size_t most_bytes);

} // namespace dandelionstep
