#pragma once

#include "tool/commands.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace CLI {
class App;
}

namespace dandelionstep {

//! Not every daemon confirmed in time that it has nothing in flight at the target.
inline constexpr int exit_not_confirmed = 5;

//! How `drain --wait` waits.
struct drain_wait {
    bool wanted = false;
    std::int64_t timeout_seconds = 600;
    //! VMs that are known to be gone for good and need not confirm.
    std::vector<std::string> without;
};

//! Adds the options of `drain --wait` to the subcommand.
void add_wait_options(CLI::App& drain, drain_wait& wait);

//! Waits until every daemon has confirmed that it has nothing in flight at the target; returns the exit
//! status.
int await_drained(const tool_options& options, const std::string& target, const drain_wait& wait);

} // namespace dandelionstep
