#include "tool/commands.hpp"
#include "vm/nearest_name.hpp"

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <string>
#include <vector>

namespace {

std::string suggestion(const CLI::App& app, const std::string& word)
{
    std::vector<std::string> known;
    for (const CLI::App* command : app.get_subcommands([](const CLI::App*) { return true; })) {
        known.push_back(command->get_name());
    }
    const std::string nearest = dandelionstep::nearest_name(word, known);
    return nearest.empty() ? "" : "; did you mean \"" + nearest + "\"?";
}

} // namespace

int main(int argument_count, char** arguments)
{
    // A connection that breaks is an error to report, not the end.
    std::signal(SIGPIPE, SIG_IGN);
    CLI::App app("Operates dandelionstep daemons.");
    app.require_subcommand(1);
    dandelionstep::tool_options options;
    dandelionstep::add_commands(app, options);
    try {
        app.parse(argument_count, arguments);
    } catch (const CLI::ParseError& error) {
        for (const std::string& word : app.remaining()) {
            std::cerr << "\"" << word << "\" is not known here" << suggestion(app, word) << "\n";
        }
        return app.exit(error) == 0 ? dandelionstep::exit_ok : dandelionstep::exit_bad_usage;
    }
    return options.exit_status;
}
