#include "tool/configuration_command.hpp"

#include "adapters/percent_encode.hpp"
#include "configuration/declarations.hpp"
#include "configuration/difference.hpp"
#include "tool/call_any.hpp"
#include "tool/declaration_files.hpp"

#include <CLI/CLI.hpp>
#include <iostream>
#include <memory>

namespace dandelionstep {
namespace {

struct apply_options {
    std::vector<std::string> files;
    std::string change;
    bool dry_run = false;
};

struct get_options {
    std::string kind;
    std::string name;
};

absl::StatusOr<std::vector<configuration_record>> read_or_complain(const std::vector<std::string>& files)
{
    auto records = read_declarations(files);
    if (!records.ok()) {
        std::cerr << records.status().message() << "\n";
    }
    return records;
}

// Fetches records in force; on failure says why and returns the exit status in `failed`.
json fetch_records(const tool_options& options, const std::string& query, int& failed)
{
    const auto answer = call_any(options, "GET", "/v1/configuration" + query, "");
    failed = report_call(answer);
    if (failed != exit_ok) {
        return {};
    }
    return answer->body;
}

int show_differences(const tool_options& options, const std::vector<std::string>& files)
{
    const auto proposed = read_or_complain(files);
    if (!proposed.ok()) {
        return exit_bad_usage;
    }
    int failed = exit_ok;
    const json body = fetch_records(options, "", failed);
    if (failed != exit_ok) {
        return failed;
    }
    std::map<record_key, configuration_record> in_force;
    for (const json& entry : body.value("records", json::array())) {
        if (const auto record = parse_record(entry); record.ok()) {
            in_force[record->key] = *record;
        }
    }
    const std::vector<record_difference> found = differences(in_force, *proposed);
    if (options.output == "json") {
        std::cout << dump(to_json(found)) << "\n";
    } else {
        const std::string text = to_text(found);
        std::cout << (text.empty() ? "no differences\n" : text);
    }
    return exit_ok;
}

int apply_files(const tool_options& options, const apply_options& wanted)
{
    if (wanted.dry_run) {
        return show_differences(options, wanted.files);
    }
    const auto records = read_or_complain(wanted.files);
    return records.ok() ? send_change(options, *records, wanted.change) : exit_bad_usage;
}

int check_files(const std::vector<std::string>& files)
{
    const auto records = read_or_complain(files);
    if (!records.ok()) {
        return exit_bad_usage;
    }
    std::cout << records->size() << " records ok\n";
    return exit_ok;
}

int show_records(const tool_options& options, const get_options& wanted)
{
    int failed = exit_ok;
    const json body = fetch_records(
        options, "?kind=" + percent_encode(wanted.kind) + "&name=" + percent_encode(wanted.name), failed);
    if (failed != exit_ok) {
        return failed;
    }
    const json records = body.value("records", json::array());
    if (options.output == "json") {
        std::cout << dump(body) << "\n";
    } else {
        for (const json& record : records) {
            std::cout << dump(record) << "\n";
        }
    }
    if (records.empty()) {
        std::cerr << "no such record is in force\n";
        return exit_refused;
    }
    return exit_ok;
}

} // namespace

int send_change(const tool_options& options, const std::vector<configuration_record>& records,
                const std::string& change)
{
    json list = json::array();
    for (const configuration_record& record : records) {
        json entry = to_json(record);
        // Only an operator who has seen the record's state makes the change depend on it.
        if (record.changed_at == revision{}) {
            entry.erase("changed_at");
        }
        list.push_back(std::move(entry));
    }
    json body{{"records", list}};
    if (!change.empty()) {
        body["change_id"] = change;
    }
    const auto answer = call_any(options, "POST", "/v1/configuration/apply", dump(body));
    if (const int status = report_call(answer); status != exit_ok) {
        return status;
    }
    if (options.output == "json") {
        std::cout << dump(answer->body) << "\n";
    } else {
        std::cout << "accepted change_id=" << string_or(answer->body, "change_id", "")
                  << " revision=" << integer_or(answer->body, "revision", 0) << "\n";
    }
    return exit_ok;
}

void add_configuration_commands(CLI::App& app, tool_options& options)
{
    const auto wanted = std::make_shared<apply_options>();
    CLI::App* apply = app.add_subcommand("apply", "Apply declaration files as one change");
    apply->add_option("files", wanted->files, "Declaration files (TOML)")->required();
    apply->add_flag("--dry-run", wanted->dry_run, "Show what would change, and change nothing");
    apply->add_option("--change-id", wanted->change, "Repeat an earlier change whose outcome was not known");
    apply->footer("Example: dandelionstep apply --dry-run members.toml targets.toml");
    apply->callback([&options, wanted] { options.exit_status = apply_files(options, *wanted); });

    CLI::App* diff = app.add_subcommand("diff", "Compare declaration files with what is in force");
    diff->add_option("files", wanted->files, "Declaration files (TOML)")->required();
    diff->callback([&options, wanted] { options.exit_status = show_differences(options, wanted->files); });

    const auto chosen = std::make_shared<get_options>();
    CLI::App* get = app.add_subcommand("get", "Show records in force, one JSON object a line");
    get->add_option("kind", chosen->kind, "Only records of this kind");
    get->add_option("name", chosen->name, "Only the record of this name");
    get->footer("Example: dandelionstep get target stage0a");
    get->callback([&options, chosen] { options.exit_status = show_records(options, *chosen); });

    CLI::App* config = app.add_subcommand("config", "Work on declaration files");
    config->require_subcommand(1);
    CLI::App* check = config->add_subcommand("check", "Check declaration files without a daemon");
    check->add_option("files", wanted->files, "Declaration files (TOML)")->required();
    check->callback([&options, wanted] { options.exit_status = check_files(wanted->files); });
}

} // namespace dandelionstep
