#pragma once

#include "tool/commands.hpp"

namespace dandelionstep {

//! Adds `orders list` and `orders settle`.
void add_order_commands(CLI::App& app, tool_options& options);

} // namespace dandelionstep
