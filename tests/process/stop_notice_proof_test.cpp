#include "common/json.hpp"
#include "support/cluster.hpp"

#include <csignal>
#include <doctest/doctest.h>

using namespace dandelionstep;
using namespace dandelionstep::testing;

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
