#pragma once

#include "tool/commands.hpp"

namespace CLI {
class App;
}

namespace dandelionstep {

//! Adds `report burn`.
void add_report_command(CLI::App& app, tool_options& options);

} // namespace dandelionstep
