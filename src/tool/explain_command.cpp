#include "tool/explain_command.hpp"

#include "report/explanation.hpp"

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <memory>

namespace dandelionstep {
namespace {

void read_lines(std::istream& from, std::vector<log_line>& into)
{
    std::string text;
    while (std::getline(from, text)) {
        if (std::optional<log_line> line = parse_log_line(text)) {
            into.push_back(*std::move(line));
        }
    }
}

int explain(const std::string& id, const std::vector<std::string>& files)
{
    std::vector<log_line> lines;
    for (const std::string& name : files) {
        std::ifstream file(name);
        if (!file) {
            std::cerr << name << ": cannot be read\n";
            return exit_bad_usage;
        }
        read_lines(file, lines);
    }
    if (files.empty()) {
        read_lines(std::cin, lines);
    }
    const explanation explained = explain_request(lines, id);
    if (explained.lines.empty()) {
        std::cerr << "no line names the request \"" << id << "\" among " << lines.size()
                  << "; successes are sampled, and a daemon counts the lines that it left out\n";
        return exit_refused;
    }
    std::cout << to_text(explained);
    return exit_ok;
}

} // namespace

void add_explain_command(CLI::App& app, tool_options& options)
{
    CLI::App* command = app.add_subcommand("explain", "Show what log files tell of one request");
    command->footer("Example: dandelionstep explain 9c41d07be2a35f68 daemon-*.log");
    const auto id = std::make_shared<std::string>();
    const auto files = std::make_shared<std::vector<std::string>>();
    command->add_option("id", *id, "The id that the caller sent with its attempt")->required();
    command->add_option("file", *files, "Logs of all daemons; standard input if none is named");
    command->callback([&options, id, files] { options.exit_status = explain(*id, *files); });
}

} // namespace dandelionstep
