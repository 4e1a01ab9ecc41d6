#pragma once

#include "absl/status/statusor.h"
#include "configuration/record.hpp"

#include <string>
#include <vector>

namespace dandelionstep {

//! Reads and checks declaration files in turn; the error names the file and the record.
absl::StatusOr<std::vector<configuration_record>> read_declarations(const std::vector<std::string>& paths);

} // namespace dandelionstep
