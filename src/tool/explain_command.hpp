#pragma once

#include "tool/commands.hpp"

namespace dandelionstep {

//! Adds "explain": what log files tell of one request.
void add_explain_command(CLI::App& app, tool_options& options);

} // namespace dandelionstep
