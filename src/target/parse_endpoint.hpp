#pragma once

#include "absl/status/statusor.h"
#include "target/endpoint.hpp"

#include <string_view>

namespace dandelionstep {

//! Parses "192.0.2.1:8080"; the error contains the text.
absl::StatusOr<endpoint> parse_endpoint(std::string_view text);

} // namespace dandelionstep
