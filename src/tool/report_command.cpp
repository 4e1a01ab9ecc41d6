#include "tool/report_command.hpp"

#include "tool/call_any.hpp"

#include <CLI/CLI.hpp>
#include <iostream>

namespace dandelionstep {
namespace {

int show_burn(const tool_options& options, const std::string& format)
{
    // Daemons write their counts once a minute; asked to, they write now. The report names those that did
    // not.
    for (const std::string& daemon : options.daemons) {
        (void)call_daemon(options, daemon, "POST", "/v1/report/write", "");
    }
    const auto answer = call_any(options, "GET", "/v1/report/burn?format=" + format, "");
    if (const int status = report_call(answer); status != exit_ok) {
        return status;
    }
    std::cout << answer->text;
    if (format == "json") {
        std::cout << "\n";
    }
    return exit_ok;
}

} // namespace

void add_report_command(CLI::App& app, tool_options& options)
{
    CLI::App* report = app.add_subcommand("report", "Reports over all daemons");
    report->require_subcommand(1);
    CLI::App* burn =
        report->add_subcommand("burn", "Service levels: good and bad requests, error budget, burn rates");
    burn->footer("Example: dandelionstep report burn --output html > burn.html");
    const auto format = std::make_shared<std::string>("text");
    burn->add_option("--output", *format, "text, json or html")
        ->check(CLI::IsMember({"text", "json", "html"}));
    burn->callback([&options, format] { options.exit_status = show_burn(options, *format); });
}

} // namespace dandelionstep
