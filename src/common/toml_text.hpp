#pragma once

#include "absl/status/statusor.h"

#include <string>
#include <toml++/toml.h>

namespace dandelionstep {

//! Parses TOML; the error names file and line.
absl::StatusOr<toml::table> parse_toml(const std::string& text, const std::string& file_name);

} // namespace dandelionstep
