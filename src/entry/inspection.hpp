#pragma once

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "entry/context/dialect.hpp"
#include "vm/lease.hpp"
#include "vm/vm_directory.hpp"

#include <ostream>
#include <string>
#include <vector>

namespace dandelionstep {

//! A row that can't be used, and why.
struct unreadable_row {
    std::string table;
    std::string key;
    std::string reason;
};

//! What the store holds for the daemons, read once.
struct inspected_store {
    std::optional<entry_config> config;
    std::vector<registered_target> targets;
    std::vector<unreadable_row> unreadable;
    std::vector<vm_record> readers;
    std::optional<lease_record> lease;
};

//! Reads the store that the settings name. Unavailable when it does not answer.
absl::StatusOr<inspected_store> inspect_store(const entry_dialect& dialect, const entry_settings& settings);

//! Prints the daemons that read the store, who holds the lease, the targets of each service and data centre,
//! and the rows that can't be used.
void print_status(const inspected_store& store, std::ostream& out);

//! Prints which engines hold the layers of each service, what they can carry, and what would be moved now.
void print_plan(const inspected_store& store, std::ostream& out);

} // namespace dandelionstep
