#include "soak/planned_run.hpp"
#include "soak/soak_run.hpp"

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <random>
#include <string>

namespace {

using namespace dandelionstep::soak;

// Whether the run kept all promises.
bool tell(const std::string& phase, std::uint64_t seed, const soak_result& result)
{
    std::cout << phase << " seed " << seed << ": " << result.requests << " requests, " << result.served
              << " served, " << result.refused << " refused, " << result.restores << " restores, "
              << result.violations.size() << " violations" << std::endl;
    if (result.violations.empty()) {
        return true;
    }
    for (const std::string& action : result.actions) {
        std::cout << "  " << action << "\n";
    }
    for (const std::string& violation : result.violations) {
        std::cout << "  VIOLATION " << violation << std::endl;
    }
    return false;
}

} // namespace

int main(int argument_count, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    CLI::App app("Runs daemons, replicas and store as processes under faults and checks the promises.");
    soak_options options;
    std::uint64_t first = 0;
    int count = 1;
    std::string phase = "both";
    app.add_option("--seed", first, "First seed; a fresh one if it is not given");
    app.add_option("--count", count, "Number of seeds");
    app.add_option("--seconds", options.seconds, "Time of faults in each run");
    app.add_option("--daemons", options.daemons, "Number of daemons");
    app.add_option("--callers", options.callers, "Number of callers");
    app.add_option("--phase", phase, "Days of planned work, of faults, or both")
        ->check(CLI::IsMember({"planned", "faults", "both"}));
    app.add_option("--keep", options.keep_logs_in, "Folder for the logs of runs that broke a promise");
    CLI11_PARSE(app, argument_count, arguments);
    if (first == 0) {
        constexpr std::uint64_t most_seeds = 1'000'000;
        first = std::random_device()() % most_seeds + 1;
    }
    int failed = 0;
    for (int i = 0; i < count; ++i) {
        options.seed = first + static_cast<std::uint64_t>(i);
        const bool faults_pass = phase == "planned" || tell("faults", options.seed, run_soak(options));
        const bool planned_passes = phase == "faults" || tell("planned", options.seed, run_planned(options));
        failed += faults_pass && planned_passes ? 0 : 1;
    }
    std::cout << count - failed << " passed, " << failed << " failed" << std::endl;
    return failed == 0 ? 0 : 1;
}
