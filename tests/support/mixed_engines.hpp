#pragma once

#include "route/entry_config.hpp"
#include "target/entry_target.hpp"

#include <string>
#include <vector>

namespace dandelionstep::testing {

//! A model of 80 layers of 1,750 MB on three kinds of accelerators.
engine_profile mixed_profile();

//! An engine of the kind, without layers.
registered_target engine_of(const std::string& id, const std::string& kind, const std::string& data_centre);

//! An engine that holds layers [begin, end).
registered_target engine_with(const std::string& id, const std::string& kind, const std::string& data_centre,
                              std::int64_t begin, std::int64_t end);

//! Two large, six middle and eight small engines in one data centre; ids begin with its name.
std::vector<registered_target> mixed_engines(const std::string& data_centre);

} // namespace dandelionstep::testing
