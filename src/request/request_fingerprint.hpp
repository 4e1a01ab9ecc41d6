#pragma once

#include "common/strong.hpp"

namespace dandelionstep {

//! Names what a request asks, whoever asks it and however often.
using request_fingerprint = strong_count<struct request_fingerprint_unit>;

} // namespace dandelionstep
