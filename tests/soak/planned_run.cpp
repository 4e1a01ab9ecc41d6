#include "soak/planned_run.hpp"

#include "absl/strings/str_cat.h"
#include "soak/planned_judge.hpp"
#include "support/cluster.hpp"

#include <fstream>
#include <random>
#include <thread>

namespace dandelionstep::soak {
namespace {

using namespace dandelionstep::testing;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds look_pause{10};
// The first configuration of the phase is in force by then.
constexpr milliseconds configuration_time{1'500};

void work_for(planned_work& work, const soak_options& options)
{
    std::mt19937_64 pauses(~options.seed);
    const auto end = steady_clock::now() + std::chrono::seconds(options.seconds);
    auto next = steady_clock::now();
    while (steady_clock::now() < end) {
        work.tend();
        if (steady_clock::now() >= next) {
            work.act();
            next = steady_clock::now() + milliseconds(100 + pauses() % 400);
        }
        std::this_thread::sleep_for(look_pause);
    }
    work.finish();
}

void check_recovery(entry_cluster& cluster, const soak_options& options, soak_result& result)
{
    for (std::size_t i = 0; i < options.daemons; ++i) {
        const bool serves = eventually([&] { return cluster.look_up(i, "after").status == 200; });
        if (!serves) {
            result.violations.push_back(absl::StrCat("daemon", i, " does not serve after the planned work"));
        }
        if (!cluster.processes.at(absl::StrCat("daemon", i)).running()) {
            result.violations.push_back(absl::StrCat("daemon", i, " ended by itself"));
        }
    }
}

} // namespace

soak_result run_planned(const soak_options& options)
{
    soak_result result;
    entry_cluster cluster(planned_plan(options));
    if (!cluster.become_ready()) {
        result.violations.emplace_back("the cluster did not become ready");
        return result;
    }
    planned_work work(cluster, options, result);
    std::this_thread::sleep_for(configuration_time);
    planned_callers callers(cluster, options, work.limits());
    work_for(work, options);
    const std::vector<planned_asked> requests = callers.stop();
    check_recovery(cluster, options, result);
    judge_planned(cluster, requests, work, result);
    if (!result.violations.empty() && !options.keep_logs_in.empty()) {
        const std::string folder = absl::StrCat(options.keep_logs_in, "/planned-", options.seed);
        cluster.keep_logs(folder);
        for (std::size_t i = 0; i < work.stops().size(); ++i) {
            const std::string name = absl::StrCat("/stop", i, "-daemon", work.stops()[i].daemon, ".log");
            std::ofstream(folder + name) << work.stops()[i].log;
        }
    }
    return result;
}

} // namespace dandelionstep::soak
