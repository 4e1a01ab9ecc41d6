#include "common/json.hpp"
#include "support/cluster.hpp"

#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

std::string state_of(const json& members, const std::string& vm)
{
    for (const json& each : members) {
        if (string_or(each, "vm", "") == vm) {
            return string_or(each, "state", "");
        }
    }
    return "";
}

} // namespace

TEST_CASE("peers hear that a daemon leaves")
{
    cluster running({.daemons = {"nashua", "nashua"},
                     .engines = {},
                     .services = {},
                     .extra_settings = {},
                     .service_settings = {}});
    running.processes.at("daemon1").signal(SIGTERM);
    CHECK(running.processes.at("daemon1").wait() == 0);
    const finished_program status = running.tool({"--output", "json", "status"});
    const auto body = parse_json(status.output);
    REQUIRE(body.ok());
    const json members = body->at(0).value("members", json::array());
    REQUIRE(members.size() == 1);
    CHECK(string_or(members[0], "state", "") == "left");
}

TEST_CASE("daemons that stop together don't end before one that stays has heard it")
{
    cluster running({.daemons = {"nashua", "nashua", "nashua"},
                     .engines = {},
                     .services = {},
                     .extra_settings = {},
                     .service_settings = {}});
    child_process& staying = running.processes.at("daemon0");
    child_process& first = running.processes.at("daemon1");
    child_process& second = running.processes.at("daemon2");
    staying.signal(SIGSTOP);
    first.signal(SIGTERM);
    second.signal(SIGTERM);
    // Longer than the notice to the load balancer, shorter than the one to peers.
    std::this_thread::sleep_for(std::chrono::milliseconds(1'700));
    const bool is_one_running = first.running() || second.running();
    CHECK(is_one_running);
    staying.signal(SIGCONT);
    CHECK(first.wait() == 0);
    CHECK(second.wait() == 0);
    const json members = running.status(0).value("members", json::array());
    CHECK(state_of(members, "vm1") == "left");
    CHECK(state_of(members, "vm2") == "left");
}
