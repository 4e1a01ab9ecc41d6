#include "tool/commands.hpp"

#include "tool/call_any.hpp"
#include "tool/configuration_command.hpp"
#include "tool/drain_command.hpp"
#include "tool/explain_command.hpp"
#include "tool/orders_command.hpp"
#include "tool/plan_command.hpp"
#include "tool/report_command.hpp"

#include <CLI/CLI.hpp>
#include <iostream>
#include <memory>

namespace dandelionstep {
namespace {

constexpr int ok_status = 200;

int set_draining(const tool_options& options, const std::string& target, bool draining)
{
    configuration_record record;
    record.key = {"drain", target};
    record.deleted = !draining;
    return send_change(options, {record});
}

void print_status(const std::string& daemon, const json& status)
{
    std::cout << "daemon=" << daemon << " vm=" << string_or(status, "vm", "")
              << " data_centre=" << string_or(status, "data_centre", "")
              << " revision=" << integer_or(status, "revision", -1)
              << " ready=" << (boolean_or(status, "ready", false) ? "yes" : "no")
              << " requests_in_flight=" << integer_or(status, "requests_in_flight", 0)
              << " peers=" << status.value("members", json::array()).size() << "\n";
    for (const json& target : status.value("targets", json::array())) {
        std::cout << "  target=" << string_or(target, "target", "")
                  << " data_centre=" << string_or(target, "data_centre", "")
                  << " in_flight=" << integer_or(target, "in_flight", 0)
                  << " load=" << integer_or(target, "reported_load", 0)
                  << " eligible=" << (boolean_or(target, "eligible", false) ? "yes" : "no")
                  << " leaving=" << (boolean_or(target, "leaving", false) ? "yes" : "no") << "\n";
    }
}

int show_status(const tool_options& options)
{
    int exit_status = exit_ok;
    json all = json::array();
    for (const std::string& daemon : options.daemons) {
        const auto answer = call_daemon(options, daemon, "GET", "/v1/status", "");
        if (!answer.ok() || answer->status != ok_status) {
            exit_status = answer.ok() ? exit_refused : exit_unreachable;
            all.push_back({{"daemon", daemon}, {"reachable", false}});
            std::cerr << daemon << ": " << (answer.ok() ? "refused" : std::string(answer.status().message()))
                      << "\n";
            continue;
        }
        all.push_back(answer->body);
        if (options.output == "text") {
            print_status(daemon, answer->body);
        }
    }
    if (options.output == "json") {
        std::cout << dump(all) << "\n";
    }
    return exit_status;
}

} // namespace

void add_commands(CLI::App& app, tool_options& options)
{
    app.add_option("--daemon", options.daemons, "Operators' address of a daemon; repeat for more")
        ->envname("DANDELIONSTEP_DAEMONS")
        ->delimiter(',');
    app.add_option("--token", options.token, "The operators' token")->envname("DANDELIONSTEP_TOKEN");
    app.add_option("--output", options.output, "text or json")->check(CLI::IsMember({"text", "json"}));

    const auto target = std::make_shared<std::string>();

    add_configuration_commands(app, options);
    add_plan_command(app, options);

    CLI::App* status = app.add_subcommand("status", "Show daemons and targets");
    status->callback([&options] { options.exit_status = show_status(options); });

    CLI::App* drain = app.add_subcommand("drain", "Give a target no new work");
    drain->add_option("target", *target, "The target")->required();
    const auto wait = std::make_shared<drain_wait>();
    add_wait_options(*drain, *wait);
    drain->callback([&options, target, wait] {
        options.exit_status = set_draining(options, *target, true);
        if (wait->wanted && options.exit_status == exit_ok) {
            options.exit_status = await_drained(options, *target, *wait);
        }
    });

    CLI::App* undrain = app.add_subcommand("undrain", "Give a drained target work again");
    undrain->add_option("target", *target, "The target")->required();
    undrain->callback([&options, target] { options.exit_status = set_draining(options, *target, false); });

    add_report_command(app, options);
    add_explain_command(app, options);
    add_order_commands(app, options);
    app.add_subcommand("version", "Show the version")->callback([] { std::cout << "dandelionstep 0.1.0\n"; });
}

} // namespace dandelionstep
