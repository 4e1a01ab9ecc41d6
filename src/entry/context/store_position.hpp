#pragma once

#include "vm/store_era.hpp"

#include <cstdint>

namespace dandelionstep {

//! Versions in the store, of one era, up to which changes are known; 0 where everything has to be read.
struct store_position {
    store_era era;
    std::int64_t config = 0;
    std::int64_t targets = 0;

    friend bool operator==(const store_position&, const store_position&) = default;
};

} // namespace dandelionstep
