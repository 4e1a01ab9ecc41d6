#pragma once

#include <string>
#include <string_view>

namespace dandelionstep {

//! The text as it stands in a URI, all but unreserved characters and `also_plain` as "%XX".
std::string percent_encode(std::string_view text, std::string_view also_plain = "");

} // namespace dandelionstep
