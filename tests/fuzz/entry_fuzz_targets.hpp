#pragma once

#include "fuzz/fuzz_targets.hpp"

#include <vector>

namespace dandelionstep::testing {

//! Every parser of the entry daemon: what replicas, the platform's store, other daemons and operators send.
std::vector<fuzz_target> entry_fuzz_targets();

} // namespace dandelionstep::testing
