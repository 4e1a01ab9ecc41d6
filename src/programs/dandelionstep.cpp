#include "tool/commands.hpp"

#include <CLI/CLI.hpp>

int main(int argument_count, char** arguments)
{
    CLI::App app("Operates dandelionstep daemons.");
    app.require_subcommand(1);
    dandelionstep::tool_options options;
    dandelionstep::add_commands(app, options);
    try {
        app.parse(argument_count, arguments);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? dandelionstep::exit_ok : dandelionstep::exit_bad_usage;
    }
    return options.exit_status;
}
