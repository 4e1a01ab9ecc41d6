#include "common/json.hpp"
#include "support/cluster.hpp"
#include "support/entry_cluster.hpp"

#include "absl/strings/str_cat.h"

#include <atomic>
#include <chrono>
#include <csignal>
#include <doctest/doctest.h>
#include <string>
#include <thread>
#include <vector>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr std::size_t daemons = 4;
constexpr milliseconds copy_age{1'500};
// The users' bound on a change of the configuration, and on targets whose registrations are not back.
constexpr milliseconds configuration_time{1'000};
constexpr milliseconds registration_time{2'000};

entry_plan plan_of_two_data_centres()
{
    entry_plan plan = usual_entry_plan();
    plan.daemons = {"n", "n", "m", "m"};
    return plan;
}

void sleep_for(milliseconds span)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(span.count));
}

void restore(entry_cluster& cluster, milliseconds age = copy_age)
{
    cluster.set_faults("store", {{"restore_ms", age.count}});
}

bool all_accept(entry_cluster& cluster, const std::string& key)
{
    for (std::size_t i = 0; i < daemons; ++i) {
        if (!cluster.accepts_key(i, key)) {
            return false;
        }
    }
    return true;
}

bool know_era(entry_cluster& cluster, std::int64_t era)
{
    for (std::size_t i = 0; i < daemons; ++i) {
        if (cluster.gauge_of(i, "store_era") != era) {
            return false;
        }
    }
    return true;
}

std::vector<std::size_t> holders(entry_cluster& cluster)
{
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < daemons; ++i) {
        if (cluster.gauge_of(i, "lease_held") == 1) {
            found.push_back(i);
        }
    }
    return found;
}

//! Callers that ask all daemons while the store comes back.
class steady_callers {
public:
    explicit steady_callers(entry_cluster& cluster)
    {
        for (std::size_t i = 0; i < daemons; ++i) {
            this->callers.emplace_back([this, &cluster, i] {
                for (int round = 0; !this->is_stopping; ++round) {
                    const std::string id = absl::StrCat("steady-", i, "-", round);
                    const bool is_served = cluster.look_up(i, id).status == 200 &&
                                           is_whole_stream(cluster.stream(i, id, "steady"), "steady");
                    ++this->asked;
                    this->served += is_served ? 1 : 0;
                }
            });
        }
    }

    void stop()
    {
        this->is_stopping = true;
        for (std::thread& caller : this->callers) {
            caller.join();
        }
    }

    std::atomic<int> asked = 0;
    std::atomic<int> served = 0;

private:
    std::atomic<bool> is_stopping = false;
    std::vector<std::thread> callers;
};

} // namespace

TEST_CASE("a configuration reverts, and the next one is missed, when the store comes back from an older copy")
{
    entry_cluster cluster(plan_of_two_data_centres());
    REQUIRE(cluster.become_ready());
    sleep_for(copy_age);
    cluster.write_key("acknowledged");
    REQUIRE(eventually([&] { return all_accept(cluster, "acknowledged"); }));
    steady_callers callers(cluster);
    for (std::int64_t era = 2; era <= 4; ++era) {
        CAPTURE(era);
        const std::string next = absl::StrCat("next-", era);
        // Behind the silence versions pass those that were known, so that no read is told that it is gone.
        const bool is_silent = era == 3;
        cluster.set_faults("store", {{"silent", is_silent}});
        restore(cluster);
        sleep_for({100});
        cluster.write_key(next);
        if (is_silent) {
            sleep_for(copy_age);
            cluster.set_faults("store", {{"silent", false}});
        }
        CHECK(eventually([&] { return know_era(cluster, era) && all_accept(cluster, next); },
                         configuration_time * 2));
        CHECK_FALSE(cluster.accepts_key(0, "unknown"));
    }
    callers.stop();
    MESSAGE("served beside three restores: ", callers.served.load(), " of ", callers.asked.load());
    CHECK(callers.served == callers.asked);
}

TEST_CASE("a configuration that was acknowledged is not in force until it is written again")
{
    entry_cluster cluster(plan_of_two_data_centres());
    REQUIRE(cluster.become_ready());
    sleep_for(copy_age);
    cluster.write_key("acknowledged");
    REQUIRE(eventually([&] { return all_accept(cluster, "acknowledged"); }));
    restore(cluster);
    REQUIRE(eventually([&] { return know_era(cluster, 2); }));
    for (int round = 0; round < 20; ++round) {
        CHECK(all_accept(cluster, "acknowledged"));
        sleep_for({50});
    }
}

TEST_CASE("a target that has left gets new work, as the copy still registers it")
{
    entry_cluster cluster(plan_of_two_data_centres());
    REQUIRE(cluster.become_ready());
    const std::int64_t before = cluster.gauge_of(0, "targets");
    sleep_for({300});
    cluster.processes.at("i-o1").kill();
    cluster.remove_row("i-o1", "servers", "i-o1");
    const auto all_know = [&](std::int64_t targets) {
        for (std::size_t i = 0; i < daemons; ++i) {
            if (cluster.gauge_of(i, "targets") != targets) {
                return false;
            }
        }
        return true;
    };
    REQUIRE(eventually([&] { return all_know(before - 1); }));
    restore(cluster);
    REQUIRE(eventually([&] { return know_era(cluster, 2); }));
    for (int round = 0; round < 20; ++round) {
        CHECK(all_know(before - 1));
        sleep_for({50});
    }
}

TEST_CASE("targets whose registrations are gone with the store's latest writes are lost to callers")
{
    entry_cluster cluster(plan_of_two_data_centres());
    REQUIRE(cluster.become_ready());
    const std::int64_t before = cluster.gauge_of(0, "targets");
    // It registers behind the copy, and is back with its next heartbeat or not at all.
    cluster.processes.at("i-o2").kill();
    cluster.remove_row("i-o2", "servers", "i-o2");
    REQUIRE(eventually([&] { return cluster.gauge_of(0, "targets") == before - 1; }));
    sleep_for(copy_age);
    cluster.processes.erase("i-o2");
    cluster.start_replica("i-o2");
    REQUIRE(eventually([&] { return cluster.gauge_of(0, "targets") == before; }));
    cluster.processes.at("i-o2").signal(SIGSTOP);
    restore(cluster);
    REQUIRE(eventually([&] { return know_era(cluster, 2); }));
    CHECK(cluster.gauge_of(0, "targets") == before);
    SUBCASE("it lives")
    {
        cluster.processes.at("i-o2").signal(SIGCONT);
        sleep_for(registration_time * 2);
        CHECK(cluster.gauge_of(0, "targets") == before);
    }
    SUBCASE("it is gone")
    {
        CHECK(
            eventually([&] { return cluster.gauge_of(0, "targets") == before - 1; }, registration_time * 2));
        cluster.processes.at("i-o2").signal(SIGCONT);
    }
}

TEST_CASE("the lease of the older era is held on, or its fencing number is given again")
{
    entry_cluster cluster(plan_of_two_data_centres());
    REQUIRE(cluster.become_ready());
    REQUIRE(eventually([&] { return holders(cluster).size() == 1; }));
    std::int64_t number = cluster.gauge_of(holders(cluster).front(), "lease_fencing_number");
    for (std::int64_t era = 2; era <= 3; ++era) {
        CAPTURE(era);
        restore(cluster, {200});
        REQUIRE(eventually([&] { return know_era(cluster, era); }));
        CHECK(eventually([&] { return holders(cluster).size() == 1; }, {10'000}));
        const std::int64_t next = cluster.gauge_of(holders(cluster).front(), "lease_fencing_number");
        CHECK(next > number);
        number = next;
    }
}

TEST_CASE("a daemon that follows a reader of the older era reads on from there when the reader dies")
{
    entry_cluster cluster(plan_of_two_data_centres());
    REQUIRE(cluster.become_ready());
    const auto reader = [&] { return cluster.gauge_of(0, "follows_reader") == 0 ? 0 : 1; };
    REQUIRE(eventually(
        [&] { return cluster.gauge_of(0, "follows_reader") + cluster.gauge_of(1, "follows_reader") == 1; }));
    const int first = reader();
    const auto other = static_cast<std::size_t>(1 - first);
    // The daemons hear nothing of the restore until their reader is dead and versions have gone on.
    cluster.set_faults("store", {{"silent", true}});
    restore(cluster);
    sleep_for({50});
    cluster.write_key("next");
    cluster.processes.at(absl::StrCat("daemon", first)).kill();
    sleep_for(copy_age);
    cluster.set_faults("store", {{"silent", false}});
    CHECK(eventually([&] { return cluster.accepts_key(other, "next"); }, configuration_time * 3));
    CHECK(cluster.gauge_of(other, "store_era") == 2);
}

TEST_CASE("a store that tells no era is read as before")
{
    entry_plan plan = plan_of_two_data_centres();
    plan.store_tells_era = false;
    entry_cluster cluster(plan);
    REQUIRE(cluster.become_ready());
    cluster.write_key("next");
    CHECK(eventually([&] { return all_accept(cluster, "next"); }));
    CHECK(cluster.gauge_of(0, "store_era") == 0);
}
