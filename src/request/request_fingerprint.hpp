#pragma once

#include "common/strong.hpp"

namespace dandelionstep {

//! Identifies the content of a request: equal for every repetition of it.
using request_fingerprint = strong_count<struct request_fingerprint_unit>;

} // namespace dandelionstep
