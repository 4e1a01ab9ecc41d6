#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace dandelionstep {

//! The known name that needs the fewest edits to become the given one; empty when none comes near.
std::string nearest_name(std::string_view name, const std::vector<std::string>& known);

} // namespace dandelionstep
