#pragma once

#include <string>
#include <vector>

// NOLINTNEXTLINE(readability-identifier-naming): the library's name
namespace CLI {
class App;
}

namespace dandelionstep {

//! Exit statuses of the tool.
inline constexpr int exit_ok = 0;
inline constexpr int exit_refused = 1;     //!< The daemon refused: nothing was changed.
inline constexpr int exit_bad_usage = 2;   //!< The command or a file is wrong.
inline constexpr int exit_unreachable = 3; //!< No daemon answered.
inline constexpr int exit_unknown = 4;     //!< Whether the change took effect is not known.

//! What the command line gives to every command.
struct tool_options {
    std::vector<std::string> daemons;
    std::string token;
    std::string output = "text";
    int exit_status = exit_ok;
};

//! Adds every subcommand; a parsed one runs and sets the exit status.
void add_commands(CLI::App& app, tool_options& options);

} // namespace dandelionstep
