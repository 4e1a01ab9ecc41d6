#include "common/json.hpp"
#include "support/cluster.hpp"
#include "support/entry_cluster.hpp"

#include <chrono>
#include <csignal>
#include <doctest/doctest.h>
#include <optional>
#include <set>
#include <string>
#include <thread>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr std::size_t daemons = 60;
// Calls of one reader that reads on: changes of configuration and targets, the daemons' rows, its own row,
// the lease.
constexpr std::int64_t reader_calls_per_second = 5;
constexpr std::int64_t restarts = 10;
constexpr std::size_t killed_in_a_row = 3;
// Readers beside the first that an event may bring forth: those in line.
constexpr std::int64_t most_readers = 5;

constexpr std::int64_t calls_of_readers(std::int64_t seconds)
{
    return seconds * reader_calls_per_second * most_readers;
}

//! Sixty daemons of one data centre, with the times of the users' small deployments.
entry_plan sixty_daemons(bool has_peers)
{
    entry_plan plan = usual_entry_plan();
    plan.daemons.assign(daemons, "n");
    plan.drain_ms = 2'000;
    plan.config_ms = 2'000;
    plan.stability_ms = 3'000;
    plan.has_peers = has_peers;
    return plan;
}

std::size_t count_followers(entry_cluster& cluster)
{
    std::size_t followers = 0;
    for (std::size_t i = 0; i < daemons; ++i) {
        followers += cluster.gauge_of(i, "follows_reader") == 1 ? 1 : 0;
    }
    return followers;
}

std::size_t count_in_era(entry_cluster& cluster, std::int64_t era)
{
    std::size_t counted = 0;
    for (std::size_t i = 0; i < daemons; ++i) {
        counted += cluster.gauge_of(i, "store_era") == era ? 1 : 0;
    }
    return counted;
}

std::optional<std::size_t> find_reader(entry_cluster& cluster)
{
    for (std::size_t i = 0; i < daemons; ++i) {
        if (cluster.gauge_of(i, "follows_reader") == 0) {
            return i;
        }
    }
    return std::nullopt;
}

child_process& daemon_of(entry_cluster& cluster, std::size_t index)
{
    return cluster.processes.at("daemon" + std::to_string(index));
}

// Calls that were made so far; the stand-in may be slow to tell.
std::int64_t calls_so_far(entry_cluster& cluster)
{
    std::int64_t calls = -1;
    REQUIRE(eventually([&] { return (calls = cluster.store_calls()) >= 0; }, {10'000}));
    return calls;
}

// Calls that are made in the next seconds.
std::int64_t calls_within(entry_cluster& cluster, int seconds)
{
    const std::int64_t before = calls_so_far(cluster);
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
    return calls_so_far(cluster) - before;
}

bool await_one_reader(entry_cluster& cluster)
{
    return eventually([&] { return count_followers(cluster) == daemons - 1; }, {20'000});
}

// The one that most of the living follow by now.
std::size_t await_reader(entry_cluster& cluster, const std::set<std::size_t>& dead)
{
    std::size_t reader = daemons;
    REQUIRE(eventually(
        [&] {
            for (std::size_t i = 0; i < daemons; ++i) {
                if (!dead.contains(i) && cluster.gauge_of(i, "followers") > 20) {
                    reader = i;
                    return true;
                }
            }
            return false;
        },
        {20'000}));
    return reader;
}

// Whether daemons all over the data centre take a new key in time.
bool takes_new_key(entry_cluster& cluster, const std::string& key, std::size_t except)
{
    cluster.write_key(key);
    for (std::size_t i = 0; i < daemons; i += 7) {
        if (i != except && !eventually([&] { return cluster.accepts_key(i, key); }, {2'000})) {
            return false;
        }
    }
    return true;
}

} // namespace

// The load that it answers: what a data centre of sixty daemons asks of the store, event by event.
TEST_CASE(
    "sixty daemons start with two calls each, one of them reads the store for all, and few do when it fails")
{
    entry_cluster cluster(sixty_daemons(true));
    REQUIRE(cluster.become_ready());
    REQUIRE(await_one_reader(cluster));
    CHECK(calls_so_far(cluster) <= static_cast<std::int64_t>(2 * daemons) + 20 * reader_calls_per_second);

    MESSAGE("calm");
    CHECK(calls_within(cluster, 5) <= 5 * reader_calls_per_second);
    CHECK(takes_new_key(cluster, "key-calm", daemons));

    MESSAGE("ten daemons are restarted");
    std::size_t reader = *find_reader(cluster);
    const std::int64_t before = calls_so_far(cluster);
    for (std::int64_t i = 0; i < restarts; ++i) {
        const std::size_t restarted = (reader + 1 + static_cast<std::size_t>(i)) % daemons;
        daemon_of(cluster, restarted).kill();
        cluster.start_daemon(restarted);
    }
    CHECK(await_one_reader(cluster));
    CHECK(calls_so_far(cluster) - before <= 2 * restarts + 5 * reader_calls_per_second);

    MESSAGE("the reader freezes and wakes again");
    reader = *find_reader(cluster);
    daemon_of(cluster, reader).signal(SIGSTOP);
    CHECK(calls_within(cluster, 5) <= calls_of_readers(5));
    CHECK(takes_new_key(cluster, "key-frozen", reader));
    daemon_of(cluster, reader).signal(SIGCONT);
    CHECK(await_one_reader(cluster));

    MESSAGE("the store is away for a while and returns");
    cluster.set_faults("store", {{"busy", true}});
    CHECK(calls_within(cluster, 5) <= calls_of_readers(5));
    cluster.set_faults("store", {{"busy", false}});
    CHECK(calls_within(cluster, 3) <= 2 * calls_of_readers(3));
    CHECK(takes_new_key(cluster, "key-back", daemons));
    CHECK(await_one_reader(cluster));

    MESSAGE("the store comes back from an older copy");
    const std::int64_t before_restore = calls_so_far(cluster);
    const time_point restored = event_loop::now();
    cluster.set_faults("store", {{"restore_ms", 1'000}});
    CHECK(eventually([&] { return count_in_era(cluster, 2) == daemons; }, {2'000}));
    MESSAGE("all know the new era after ", (event_loop::now() - restored).count, " ms");
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const std::int64_t calls_since = calls_so_far(cluster) - before_restore;
    MESSAGE("calls since: ", calls_since);
    CHECK(calls_since <= calls_of_readers((event_loop::now() - restored).count / 1'000 + 1));
    CHECK(takes_new_key(cluster, "key-restored", daemons));
    CHECK(await_one_reader(cluster));

    MESSAGE("the reader is killed");
    reader = *find_reader(cluster);
    daemon_of(cluster, reader).kill();
    CHECK(calls_within(cluster, 5) <= calls_of_readers(5));
    CHECK(takes_new_key(cluster, "key-killed", reader));
    CHECK(count_followers(cluster) >= daemons - 1 - most_readers);

    MESSAGE("three more readers are killed, each as soon as it is followed");
    std::set<std::size_t> dead{reader};
    const std::int64_t before_kills = calls_so_far(cluster);
    const time_point began = event_loop::now();
    while (dead.size() < 1 + killed_in_a_row) {
        reader = await_reader(cluster, dead);
        daemon_of(cluster, reader).kill();
        dead.insert(reader);
    }
    std::this_thread::sleep_for(std::chrono::seconds(3));
    const std::int64_t seconds = (event_loop::now() - began).count / 1'000 + 1;
    const std::int64_t calls = calls_so_far(cluster) - before_kills;
    MESSAGE("calls in ", seconds, " s: ", calls);
    CHECK(calls <= calls_of_readers(seconds));
    CHECK(count_followers(cluster) >= daemons - dead.size() - most_readers);
}

TEST_CASE(
    "without readers each of the sixty asks the store for itself: the twin that the others are measured by")
{
    entry_cluster cluster(sixty_daemons(false));
    REQUIRE(cluster.become_ready());
    const std::int64_t calm = calls_within(cluster, 5);
    MESSAGE("calls in 5 s: calm ", calm);
    CHECK(calm > calls_of_readers(5));
    cluster.set_faults("store", {{"busy", true}});
    const std::int64_t away = calls_within(cluster, 5);
    MESSAGE("calls in 5 s: the store away ", away);
    CHECK(away > calls_of_readers(5));
}
