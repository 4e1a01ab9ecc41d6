#include "tool/commands.hpp"

#include <CLI/CLI.hpp>

int main(int argument_count, char** arguments)
{
    CLI::App app("Operates dandelionstep daemons.");
    app.require_subcommand(1);
    dandelionstep::tool_options options;
    dandelionstep::add_commands(app, options);
    CLI11_PARSE(app, argument_count, arguments);
    return options.exit_status;
}
