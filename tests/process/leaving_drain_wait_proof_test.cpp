#include "support/cluster.hpp"
#include "support/streams.hpp"

#include <csignal>
#include <doctest/doctest.h>
#include <fstream>
#include <sstream>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr std::size_t daemons = 3;

cluster_plan three_daemons()
{
    return {.daemons = {"nashua", "nashua", "nashua"},
            .engines = three_stages("nashua"),
            .services = {},
            .extra_settings = {},
            .service_settings = {}};
}

int failed_attempts_at(const cluster& running, const std::string& target)
{
    int count = 0;
    for (std::size_t i = 0; i < daemons; ++i) {
        std::ifstream file(running.folder.path("daemon" + std::to_string(i) + ".log"));
        for (std::string line; std::getline(file, line);) {
            const bool failed = line.find("attempt_failed") != std::string::npos;
            count += failed && line.find("target=" + target) != std::string::npos ? 1 : 0;
        }
    }
    return count;
}

bool holds(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("a target that drain called safe to stop can be killed at once, and no answer notices")
{
    cluster running(three_daemons());
    running_streams streams;
    for (std::size_t i = 0; i < 2 * daemons; ++i) {
        streams.add(running, i % daemons, "quote " + std::to_string(i), 250);
    }
    CHECK(eventually([&] { return !attempts_at(running, "stage1a").empty(); }));

    const finished_program drained = running.tool({"drain", "stage1a", "--wait", "--timeout", "60"});
    CHECK(drained.exit_status == 0);
    CHECK(holds(drained.output, "waiting target=stage1a"));
    CHECK(holds(drained.output, "safe_to_stop target=stage1a confirmed=3 in_flight=0 missing=\n"));
    running.processes.at("stage1a").kill();

    CHECK(streams.count_failed() == 0);
    CHECK(failed_attempts_at(running, "stage1a") == 0);
}

TEST_CASE("drain names a frozen daemon and calls nothing safe until that daemon has confirmed")
{
    cluster running(three_daemons());
    running.processes.at("daemon2").signal(SIGSTOP);
    const finished_program unsure = running.tool({"drain", "stage1a", "--wait", "--timeout", "4"});
    CHECK(unsure.exit_status == 5);
    CHECK(
        holds(unsure.output, "not_confirmed target=stage1a confirmed=2 in_flight=0 missing=vm2:no_answer\n"));
    CHECK_FALSE(holds(unsure.output, "safe_to_stop"));

    SUBCASE("it goes on")
    {
        running.processes.at("daemon2").signal(SIGCONT);
        const finished_program sure = running.tool({"drain", "stage1a", "--wait", "--timeout", "30"});
        CHECK(sure.exit_status == 0);
        CHECK(holds(sure.output, "safe_to_stop target=stage1a confirmed=3"));
    }
    SUBCASE("the operator knows that it is gone for good")
    {
        running.processes.at("daemon2").kill();
        const finished_program sure =
            running.tool({"drain", "stage1a", "--wait", "--timeout", "4", "--without", "vm2"});
        CHECK(sure.exit_status == 0);
        CHECK(holds(sure.output, "safe_to_stop target=stage1a confirmed=2"));
    }
}

TEST_CASE("a daemon that stopped as planned need not confirm")
{
    cluster running(three_daemons());
    running.processes.at("daemon2").signal(SIGTERM);
    CHECK(running.processes.at("daemon2").wait() == 0);
    const finished_program drained = running.tool({"drain", "stage1a", "--wait", "--timeout", "20"});
    CHECK(drained.exit_status == 0);
    CHECK(holds(drained.output, "safe_to_stop target=stage1a confirmed=2"));
}

TEST_CASE("an undrained target takes work again")
{
    cluster running(three_daemons());
    CHECK(running.tool({"drain", "stage1a", "--wait", "--timeout", "20"}).exit_status == 0);
    CHECK(running.tool({"undrain", "stage1a"}).exit_status == 0);
    int asked = 0;
    CHECK(eventually([&] {
        running.ask(0, "question " + std::to_string(++asked) + " [2]");
        return !attempts_at(running, "stage1a").empty();
    }));
}
