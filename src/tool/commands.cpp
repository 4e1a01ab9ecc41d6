#include "tool/commands.hpp"

#include "configuration/declarations.hpp"
#include "configuration/record.hpp"
#include "tool/call_any.hpp"
#include "tool/declaration_files.hpp"
#include "tool/drain_command.hpp"
#include "tool/orders_command.hpp"
#include "tool/plan_command.hpp"
#include "tool/report_command.hpp"

#include <CLI/CLI.hpp>
#include <iostream>
#include <memory>

namespace dandelionstep {
namespace {

constexpr int ok_status = 200;

int send_change(const tool_options& options, const std::vector<configuration_record>& records)
{
    json list = json::array();
    for (const configuration_record& record : records) {
        list.push_back(to_json(record));
    }
    const auto answer = call_any(options, "POST", "/v1/configuration/apply", dump({{"records", list}}));
    if (!answer.ok()) {
        std::cerr << answer.status().message() << "\n";
        return exit_for(answer.status());
    }
    if (answer->status != ok_status) {
        print_error(*answer);
        return exit_for(*answer);
    }
    if (options.output == "json") {
        std::cout << dump(answer->body) << "\n";
    } else {
        std::cout << "accepted change_id=" << string_or(answer->body, "change_id", "")
                  << " revision=" << integer_or(answer->body, "revision", 0) << "\n";
    }
    return exit_ok;
}

int apply_files(const tool_options& options, const std::vector<std::string>& paths)
{
    const auto records = read_declarations(paths);
    if (!records.ok()) {
        std::cerr << records.status().message() << "\n";
        return exit_bad_usage;
    }
    return send_change(options, *records);
}

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

int check_files(const std::vector<std::string>& paths)
{
    const auto records = read_declarations(paths);
    if (!records.ok()) {
        std::cerr << records.status().message() << "\n";
        return exit_bad_usage;
    }
    std::cout << records->size() << " records ok\n";
    return exit_ok;
}

} // namespace

void add_commands(CLI::App& app, tool_options& options)
{
    app.add_option("--daemon", options.daemons, "Operators' address of a daemon; repeat for more")
        ->envname("DANDELIONSTEP_DAEMONS")
        ->delimiter(',');
    app.add_option("--token", options.token, "The operators' token")->envname("DANDELIONSTEP_TOKEN");
    app.add_option("--output", options.output, "text or json")->check(CLI::IsMember({"text", "json"}));

    const auto paths = std::make_shared<std::vector<std::string>>();
    const auto target = std::make_shared<std::string>();

    CLI::App* apply = app.add_subcommand("apply", "Apply declaration files as one change");
    apply->add_option("files", *paths, "Declaration files (TOML)")->required();
    apply->callback([&options, paths] { options.exit_status = apply_files(options, *paths); });

    CLI::App* config = app.add_subcommand("config", "Work on declaration files");
    config->require_subcommand(1);
    CLI::App* check = config->add_subcommand("check", "Check declaration files without a daemon");
    check->add_option("files", *paths, "Declaration files (TOML)")->required();
    check->callback([&options, paths] { options.exit_status = check_files(*paths); });

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
    add_order_commands(app, options);
    app.add_subcommand("version", "Show the version")->callback([] { std::cout << "dandelionstep 0.1.0\n"; });
}

} // namespace dandelionstep
