#pragma once

#include "tool/commands.hpp"

namespace dandelionstep {

//! Adds the subcommand "plan": each model's throughput bound and the cut that limits it.
void add_plan_command(CLI::App& app, tool_options& options);

} // namespace dandelionstep
