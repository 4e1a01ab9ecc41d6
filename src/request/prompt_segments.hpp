#pragma once

#include "common/ids.hpp"

#include <string>
#include <vector>

namespace dandelionstep {

//! The segments as they stand in logs, the first ones of many.
std::string segments_text(const std::vector<segment_id>& segments);

} // namespace dandelionstep
