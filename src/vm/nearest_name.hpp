#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace dandelionstep {

//! The known name with the smallest edit distance to the given one; empty if none is close.
std::string nearest_name(std::string_view name, const std::vector<std::string>& known);

} // namespace dandelionstep
