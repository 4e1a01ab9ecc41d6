#pragma once

#include "entry/context/dialect.hpp"

#include <string>

namespace dandelionstep {

//! Reads a settings file in the platform's form. NotFound: it can't be read.
absl::StatusOr<entry_settings> read_entry_settings(const entry_dialect& dialect, const std::string& path);

//! Runs the entry daemon until it has been told to stop and its requests have ended.
absl::Status run_entry_daemon(const entry_dialect& dialect, const entry_settings& settings,
                              const std::string& settings_path);

} // namespace dandelionstep
