#include "common/json.hpp"
#include "support/cluster.hpp"
#include "support/entry_cluster.hpp"

#include <csignal>
#include <doctest/doctest.h>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

json run_of(entry_cluster& cluster, const std::string& attempt)
{
    for (const std::string& id : cluster.replica_ids()) {
        const json runs = cluster.ledger(id).value("runs", json::object());
        if (runs.contains(attempt)) {
            return runs[attempt];
        }
    }
    return json::object();
}

} // namespace

TEST_CASE("a daemon without a configuration refuses as not run and is not ready")
{
    entry_cluster cluster(usual_entry_plan());
    REQUIRE(eventually([&] { return cluster.look_up(0, "a").status == 503; }));
    CHECK_FALSE(cluster.is_ready(0));
    CHECK_FALSE(find_header(cluster.look_up(0, "b").headers, "Retry-After").empty());
    const caller_answer long_order = cluster.order(0, "c", std::string(6'000'000, 'x'));
    CHECK(long_order.status == 503);
    CHECK_FALSE(find_header(long_order.headers, "Retry-After").empty());
}

TEST_CASE("streams, orders and lookups are served whole")
{
    entry_cluster cluster(usual_entry_plan());
    REQUIRE(cluster.become_ready());

    const caller_answer stream = cluster.stream(0, "s1", "a question");
    CHECK(is_whole_stream(stream, "a question"));
    CHECK_FALSE(find_header(stream.headers, "Dandelionstep-Server-Signature").empty());
    const json streamed = run_of(cluster, "s1");
    CHECK(streamed.value("organisation", "") == entry_organisation);
    CHECK_FALSE(streamed.value("key_seen", true));

    const caller_answer order = cluster.order(0, "o1", "two barrels");
    CHECK(order.status == 200);
    CHECK(order.body == "echo:two barrels");
    CHECK(cluster.runs_of("o1") == 1);

    const caller_answer found = cluster.look_up(0, "l1");
    CHECK(found.status == 200);
    CHECK(run_of(cluster, "l1").value("target", "") == "/look/x");

    for (const std::string& id : cluster.replica_ids()) {
        CAPTURE(id);
        CHECK(cluster.ledger(id).value("bad_paths", json::array()).empty());
    }
}

TEST_CASE("requests that the configuration does not allow are refused without running")
{
    entry_cluster cluster(usual_entry_plan());
    REQUIRE(cluster.become_ready());
    CHECK(cluster.ask(0, "GET", "/nowhere/x", "n1").status == 404);
    CHECK(cluster.ask(0, "GET", "/look/x", "n2", "", {{"Dandelionstep-Credential", "forged"}}).status == 401);
    CHECK(cluster.runs_of("n1") == 0);
    CHECK(cluster.runs_of("n2") == 0);
    // What a caller says of its organisation is not believed.
    cluster.ask(0, "GET", "/look/x", "n3", "", {{"Dandelionstep-Tenant", "someone-else"}});
    CHECK(run_of(cluster, "n3").value("organisation", "") == entry_organisation);
}

TEST_CASE("a change of the configuration is in force within its time, and never goes back")
{
    entry_cluster cluster(usual_entry_plan());
    REQUIRE(cluster.become_ready());
    cluster.write_config([](json& config) { config["Tenants"][0]["ApiKeys"] = json::array({"key-2"}); });
    REQUIRE(eventually([&] { return cluster.look_up(0, "k").status == 401; }, {1'000}));
    for (int i = 0; i < 20; ++i) {
        CHECK(cluster.look_up(0, "k").status == 401);
    }
    CHECK(cluster.ask(0, "GET", "/look/x", "k2", "", {{"Dandelionstep-Credential", "key-2"}}).status == 200);
}

TEST_CASE("metrics and logs tell what a daemon did")
{
    entry_cluster cluster(usual_entry_plan());
    REQUIRE(cluster.become_ready());
    cluster.set_faults("i-o1", {{"hang", 100}});
    cluster.set_faults("i-o2", {{"hang", 100}});
    cluster.set_faults("i-o3", {{"hang", 100}});
    CHECK(cluster.order(0, "held-order", "x").status == 504);
    cluster.processes.at("daemon0").signal(SIGTERM);
    const std::string output = cluster.output_of(0);
    CHECK(cluster.processes.at("daemon0").wait() == 0);
    for (const std::string expected :
         {"event=started", "event=config_applied", "event=lease_taken", "event=place_order", "event=stopping",
          "event=stopped", "id=held-order"}) {
        CAPTURE(expected);
        CHECK(output.find(expected) != std::string::npos);
    }
}
