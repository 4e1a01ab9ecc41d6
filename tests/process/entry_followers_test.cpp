#include "common/json.hpp"
#include "support/cluster.hpp"
#include "support/entry_cluster.hpp"

#include <chrono>
#include <csignal>
#include <doctest/doctest.h>
#include <set>
#include <thread>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

entry_plan three_daemons()
{
    entry_plan plan = usual_entry_plan();
    plan.daemons = {"n", "n", "n"};
    return plan;
}

std::set<std::size_t> followers_in(entry_cluster& cluster, std::size_t daemons)
{
    std::set<std::size_t> followers;
    for (std::size_t i = 0; i < daemons; ++i) {
        if (cluster.gauge_of(i, "follows_reader") == 1) {
            followers.insert(i);
        }
    }
    return followers;
}

// Waits until all but one daemon follow; that one.
std::size_t await_reader(entry_cluster& cluster)
{
    std::size_t reader = 0;
    REQUIRE(eventually(
        [&] {
            const std::set<std::size_t> followers = followers_in(cluster, 3);
            for (std::size_t i = 0; i < 3; ++i) {
                reader = followers.contains(i) ? reader : i;
            }
            return followers.size() == 2;
        },
        {15'000}));
    return reader;
}

std::int64_t orders_at(entry_cluster& cluster, const std::string& replica)
{
    return static_cast<std::int64_t>(cluster.ledger(replica)["runs"].size());
}

} // namespace

TEST_CASE("one daemon of a data centre reads the store, and the others learn each change from it in time")
{
    entry_cluster cluster(three_daemons());
    REQUIRE(cluster.become_ready());
    await_reader(cluster);
    for (int round = 0; round < 3; ++round) {
        const std::string key = "key-round" + std::to_string(round);
        cluster.write_key(key);
        for (std::size_t i = 0; i < 3; ++i) {
            CHECK(eventually([&] { return cluster.accepts_key(i, key); }, {1'000}));
        }
    }
    // Followers make no call in some seconds.
    const std::int64_t before = cluster.store_calls();
    std::this_thread::sleep_for(std::chrono::seconds(3));
    const std::int64_t calls = cluster.store_calls() - before;
    // A reader of its own would poll the targets every 210 ms, so three of them more than 40 times.
    CHECK(calls < 30);
}

// The load that it answers: many daemons start at once, and the store refuses most of their calls.
TEST_CASE("a daemon that starts learns the configuration and the targets from its data centre's reader")
{
    entry_cluster cluster(three_daemons());
    REQUIRE(cluster.become_ready());
    const std::size_t reader = await_reader(cluster);
    const std::size_t started = (reader + 1) % 3;
    cluster.processes.at("daemon" + std::to_string(started)).kill();
    cluster.set_faults("store", {{"lists_busy", true}});
    cluster.start_daemon(started);
    REQUIRE(eventually([&] { return cluster.is_ready(started); }, {10'000}));
    CHECK(cluster.gauge_of(started, "follows_reader") == 1);
    CHECK(cluster.order(started, "first", "x").status == 200);
    // It learns of changes, and reads the store as soon as it loses its reader.
    cluster.write_key("key-after");
    CHECK(eventually([&] { return cluster.accepts_key(started, "key-after"); }, {1'000}));
    cluster.set_faults("store", {{"lists_busy", false}});
    cluster.processes.at("daemon" + std::to_string(reader)).kill();
    cluster.write_key("key-without-reader");
    CHECK(eventually([&] { return cluster.accepts_key(started, "key-without-reader"); }, {4'000}));
}

TEST_CASE("followers read the store themselves when their reader dies, freezes or loses the store")
{
    entry_plan plan = three_daemons();
    for (const char* fault : {"dies", "freezes", "leaves"}) {
        CAPTURE(fault);
        entry_cluster cluster(plan);
        REQUIRE(cluster.become_ready());
        const std::size_t reader = await_reader(cluster);
        child_process& process = cluster.processes.at("daemon" + std::to_string(reader));
        if (fault == std::string("dies")) {
            process.kill();
        } else {
            process.signal(fault == std::string("freezes") ? SIGSTOP : SIGTERM);
        }
        // A target leaves in the same moment: after the drain time it gets nothing from the others.
        cluster.set_faults("i-o1", {{"draining", true}});
        std::this_thread::sleep_for(std::chrono::milliseconds(plan.drain_ms));
        const std::int64_t before = orders_at(cluster, "i-o1");
        for (std::size_t i = 0; i < 3; ++i) {
            for (int order = 0; i != reader && order < 10; ++order) {
                const std::string attempt =
                    std::string(fault) + std::to_string(i) + "-" + std::to_string(order);
                CHECK(cluster.order(i, attempt, "x").status == 200);
            }
        }
        CHECK(orders_at(cluster, "i-o1") == before);
        cluster.write_key("key-after");
        for (std::size_t i = 0; i < 3; ++i) {
            CHECK((i == reader || eventually([&] { return cluster.accepts_key(i, "key-after"); }, {1'000})));
        }
        process.signal(SIGCONT);
    }
}

TEST_CASE("followers whose reader loses the store try themselves, and follow again when it is back")
{
    entry_cluster cluster(three_daemons());
    REQUIRE(cluster.become_ready());
    await_reader(cluster);
    cluster.set_faults("store", {{"busy", true}});
    // The reader's knowledge grows old.
    REQUIRE(eventually([&] { return followers_in(cluster, 3).empty(); }, {5'000}));
    cluster.set_faults("store", {{"busy", false}});
    CHECK(eventually([&] { return followers_in(cluster, 3).size() == 2; }, {15'000}));
    cluster.write_key("key-back");
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK(eventually([&] { return cluster.accepts_key(i, "key-back"); }, {1'000}));
    }
}

// The load that it answers: the store turns some machines away, the reader and most of those in line among
// them, and serves the others and the operators.
TEST_CASE("a data centre of which the store lets in one daemon alone learns from that one in time")
{
    entry_plan plan = usual_entry_plan();
    plan.daemons.assign(7, "n");
    plan.own_store_addresses = true;
    plan.drain_ms = 2'000;
    plan.config_ms = 2'000;
    plan.stability_ms = 3'000;
    entry_cluster cluster(plan);
    REQUIRE(cluster.become_ready());
    const auto readers = [&] {
        return plan.daemons.size() - followers_in(cluster, plan.daemons.size()).size();
    };
    REQUIRE(eventually([&] { return readers() == 1; }, {15'000}));
    const std::set<std::size_t> followers = followers_in(cluster, plan.daemons.size());
    for (const std::size_t let_in : {*followers.begin(), *followers.rbegin()}) {
        CAPTURE(let_in);
        json refused = json::array();
        for (std::size_t i = 0; i < plan.daemons.size(); ++i) {
            if (i != let_in) {
                refused.push_back(to_string(cluster.store_of(i)));
            }
        }
        cluster.set_faults("store", {{"busy_at", refused}});
        const std::string key = "key-by-" + std::to_string(let_in);
        cluster.write_key(key);
        const auto written_at = std::chrono::steady_clock::now();
        for (std::size_t i = 0; i < plan.daemons.size(); ++i) {
            CHECK(eventually([&] { return cluster.accepts_key(i, key); }, {3'000}));
        }
        const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - written_at);
        MESSAGE("the last daemon took the key after ", took.count(), " ms");
        CHECK(took.count() <= plan.config_ms);
        cluster.set_faults("store", {{"busy_at", json::array()}});
        CHECK(eventually([&] { return readers() == 1; }, {15'000}));
    }
}
