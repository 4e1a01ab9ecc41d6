#pragma once

#include <nlohmann/json_fwd.hpp>

namespace dandelionstep {

//! A JSON value; headers that only name it need no more than this.
using json = nlohmann::json;

} // namespace dandelionstep
