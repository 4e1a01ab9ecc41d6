// Point: on running daemons the applied revision never goes down, and no daemon serves with an older one than
// it could hear of, whatever the platform's table answers.
#include "configuration/record.hpp"
#include "support/cluster.hpp"
#include "support/operator_calls.hpp"

#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

cluster_plan plan_of(std::vector<std::string> daemons)
{
    return {.daemons = std::move(daemons),
            .engines = {},
            .services = {"nashua"},
            .extra_settings = {},
            .service_settings = {}};
}

bool all_reach(const cluster& running, std::size_t daemons, std::int64_t revision)
{
    return eventually([&] {
        for (std::size_t i = 0; i < daemons; ++i) {
            if (revision_of(running, i) != revision) {
                return false;
            }
        }
        return true;
    });
}

} // namespace

TEST_CASE("a daemon that starts while the table answers with older data serves with its peers' revision")
{
    cluster running(plan_of({"nashua", "nashua", "burlington"}));
    running.set_faults("platform", {{"stale_reads", true}});
    REQUIRE(apply_change_at(running, 0, drain_of("desk9")).status == 200);
    REQUIRE(all_reach(running, 3, 2));
    running.processes.at("daemon2").kill();
    running.start_daemon(2);
    // From its first answer on, it never says that it is ready below revision 2.
    bool never_below = true;
    CHECK(eventually([&] {
        const json status = status_of(running, 2);
        const bool ready = boolean_or(status, "ready", false);
        never_below = never_below && (!ready || integer_or(status, "revision", -1) >= 2);
        return ready;
    }));
    CHECK(never_below);
    CHECK(revision_of(running, 2) == 2);
}

TEST_CASE("with the table down, daemons keep their configuration and hand it to new ones")
{
    cluster running(plan_of({"nashua", "nashua"}));
    for (const char* manner : {"503", "drop"}) {
        running.set_faults("platform", {{"down", manner}});
        const http_result refused = apply_change_at(running, 0, drain_of("desk9"));
        CHECK(error_of(refused) == "store_unavailable");
        CHECK(refused.header("Outcome") == "not_run");
        running.processes.at("daemon1").kill();
        running.start_daemon(1);
        CHECK(eventually([&] { return is_ready(running, 1); }));
        CHECK(revision_of(running, 1) == 1);
        CHECK(running.lookup(1, "/stock/lye").status == 200);
    }
    running.set_faults("platform", {{"down", ""}});
    CHECK(eventually([&] { return apply_change_at(running, 1, drain_of("desk9")).status == 200; }));
    CHECK(all_reach(running, 2, 2));
}

TEST_CASE("a daemon that can hear of no configuration is not ready")
{
    cluster running(plan_of({"nashua"}));
    running.set_faults("platform", {{"down", "503"}});
    running.processes.at("daemon0").kill();
    running.start_daemon(0);
    REQUIRE(eventually([&] { return revision_of(running, 0) == -1; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    CHECK_FALSE(is_ready(running, 0));
    running.set_faults("platform", {{"down", ""}});
    CHECK(eventually([&] { return is_ready(running, 0); }, {30'000}));
}

TEST_CASE("a change whose answer is lost is accepted once")
{
    cluster running(plan_of({"nashua", "burlington"}));
    running.set_faults("platform", {{"lose_answers", 1}});
    const json id{{"change_id", "lost-1"}};
    CHECK(apply_change_at(running, 0, drain_of("desk9"), id).status == 200);
    CHECK(apply_change_at(running, 1, drain_of("desk9"), id).status == 200);
    CHECK(all_reach(running, 2, 2));
}

TEST_CASE("a change that can't be settled is answered unknown, and its id finds out later")
{
    cluster running(plan_of({"nashua"}));
    running.set_faults("platform", {{"lose_answers", 100}});
    const json id{{"change_id", "unsettled-1"}};
    http_result first;
    std::thread asking([&] { first = apply_change_at(running, 0, drain_of("desk9"), id); });
    REQUIRE(eventually([&] { return revision_of(running, 0) >= 1; }));
    running.set_faults("platform", {{"lose_answers", 100}, {"down", "drop"}});
    asking.join();
    running.set_faults("platform", {{"lose_answers", 0}, {"down", ""}});
    const bool told_truly = first.status == 200 || first.header("Outcome") == "unknown";
    CHECK(told_truly);
    CHECK(apply_change_at(running, 0, drain_of("desk9"), id).status == 200);
    CHECK(all_reach(running, 1, 2));
}

TEST_CASE(
    "of operators who race on one record through two daemons, one wins and the others learn which record")
{
    cluster running(plan_of({"nashua", "burlington"}));
    json record = drain_of("desk9");
    record["changed_at"] = 0;
    std::vector<http_result> answers(6);
    std::vector<std::thread> operators;
    for (std::size_t i = 0; i < answers.size(); ++i) {
        operators.emplace_back([&, i] { answers[i] = apply_change_at(running, i % 2, record); });
    }
    for (std::thread& each : operators) {
        each.join();
    }
    int accepted = 0;
    for (const http_result& each : answers) {
        accepted += each.status == 200 ? 1 : 0;
        if (each.status != 200) {
            CHECK(each.status == 409);
            CHECK(error_of(each, "message").find("drain/desk9") != std::string::npos);
        }
    }
    CHECK(accepted == 1);
    CHECK(all_reach(running, 2, 2));
}

TEST_CASE("a record of a schema that daemons can't read is refused by their names")
{
    cluster running(plan_of({"nashua", "burlington"}));
    json record = drain_of("desk9");
    record["schema_version"] = newest_schema_version + 1;
    CHECK(eventually([&] {
        const std::string message = error_of(apply_change_at(running, 0, record), "message");
        return message.find("vm0") != std::string::npos && message.find("vm1") != std::string::npos;
    }));
    CHECK(revision_of(running, 0) == 1);
}
