#pragma once

#include "common/strong.hpp"

namespace dandelionstep {

//! Counts how often the store came back from an older copy of itself; 0 when it does not say. Versions are
//! given out again in a later era, and can be compared with those of the same era only.
using store_era = strong_count<struct store_era_unit>;

} // namespace dandelionstep
