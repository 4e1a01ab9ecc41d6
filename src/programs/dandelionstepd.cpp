#include "adapters/log.hpp"
#include "daemon/daemon.hpp"
#include "vm/settings.hpp"

#include <CLI/CLI.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

// Exit statuses, documented in docs/OPERATIONS.md.
constexpr int exit_ok = 0;
constexpr int exit_cannot_run = 1;
constexpr int exit_bad_settings = 2;

absl::StatusOr<dandelionstep::settings> read_settings(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        return absl::NotFoundError(path + ": cannot be read");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return dandelionstep::parse_settings(text.str(), path);
}

} // namespace

int main(int argument_count, char** arguments)
{
    CLI::App app("The entry daemon of dandelionstep.");
    std::string settings_path;
    bool check = false;
    bool print_defaults = false;
    app.add_option("settings", settings_path, "The settings file (TOML)");
    app.add_flag("--check", check, "Check the settings file and exit");
    app.add_flag("--print-defaults", print_defaults, "Print every key with its default and exit");
    try {
        app.parse(argument_count, arguments);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? exit_ok : exit_bad_settings;
    }

    if (print_defaults) {
        std::cout << dandelionstep::default_settings();
        return exit_ok;
    }
    if (settings_path.empty()) {
        std::cerr << "a settings file is required; --print-defaults shows one\n";
        return exit_bad_settings;
    }
    const auto configured = read_settings(settings_path);
    if (!configured.ok()) {
        std::cerr << configured.status().message() << "\n";
        return exit_bad_settings;
    }
    if (check) {
        std::cout << settings_path << ": ok\n";
        return exit_ok;
    }
    std::signal(SIGPIPE, SIG_IGN);
    dandelionstep::start_logging(arguments[0], configured->vm.value);
    const absl::Status status = dandelionstep::run_daemon(*configured);
    if (!status.ok()) {
        dandelionstep::log_event("cannot_run", {{"reason", std::string(status.message())}});
        return exit_cannot_run;
    }
    return exit_ok;
}
