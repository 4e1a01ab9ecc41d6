#pragma once

#include "configuration/record.hpp"
#include "tool/commands.hpp"

#include <vector>

namespace CLI {
class App;
}

namespace dandelionstep {

//! Adds `apply`, `diff`, `get` and `config check`.
void add_configuration_commands(CLI::App& app, tool_options& options);

//! Sends records as one change and prints what became of it; returns the exit status. An empty id gets a
//! fresh one.
int send_change(const tool_options& options, const std::vector<configuration_record>& records,
                const std::string& change = "");

} // namespace dandelionstep
