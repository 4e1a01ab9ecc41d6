#pragma once

#include "absl/status/status.h"
#include "vm/settings.hpp"

namespace dandelionstep {

//! Runs one daemon until it has stopped; returns an error when it can't start.
absl::Status run_daemon(const settings& configured);

} // namespace dandelionstep
