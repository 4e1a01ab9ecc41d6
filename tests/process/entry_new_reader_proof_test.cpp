#include "absl/strings/str_cat.h"
#include "common/json.hpp"
#include "support/scripted_cluster.hpp"

#include <array>
#include <doctest/doctest.h>
#include <optional>
#include <string>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

void wait(scripted_cluster& cluster, milliseconds time)
{
    cluster.await([] { return false; }, time);
}

// Two daemons of which one learns from the other, with the drain time and heartbeats of the users.
entry_plan reader_and_follower()
{
    entry_plan plan;
    plan.daemons = {"n", "n"};
    plan.drain_ms = 2'000;
    plan.heartbeat_ms = 1'200;
    plan.own_store_addresses = true;
    return plan;
}

std::optional<std::size_t> follower_of_two(scripted_cluster& cluster)
{
    const std::array<bool, 2> follows{cluster.daemons().gauge_of(0, "follows_reader") == 1,
                                      cluster.daemons().gauge_of(1, "follows_reader") == 1};
    if (follows[0] == follows[1]) {
        return std::nullopt;
    }
    return follows[0] ? 0 : 1;
}

std::string daemon_name(std::size_t index)
{
    return absl::StrCat("daemon", index);
}

void set_store_busy_for(scripted_cluster& cluster, std::size_t daemon, bool is_busy)
{
    json addresses = json::array();
    if (is_busy) {
        addresses.push_back(to_string(cluster.daemons().store_of(daemon)));
    }
    cluster.daemons().set_faults("store", {{"busy_at", addresses}});
}

// How long after `from` the last of the requests arrived that the daemon sends for many, one after the other.
milliseconds last_arrival_after(scripted_cluster& cluster, std::size_t daemon, time_point from,
                                milliseconds span)
{
    constexpr milliseconds between{20};
    cluster.arrivals.clear();
    while (event_loop::now() - from < span) {
        const auto caller = connect_raw(cluster.loop, cluster.daemons().callers_of(daemon));
        caller->write(request_bytes("GET", "/look/x", "asked"));
        cluster.await([&] { return caller->closed || !scripted_cluster::answers_on(*caller).empty(); });
        wait(cluster, between);
    }
    return cluster.arrivals.empty() ? milliseconds{0} : cluster.arrivals.back().at - from;
}

} // namespace

TEST_CASE("a removal is in force in time at a new reader")
{
    // The new reader's first calls may fail although the store is there: others heard from it before.
    for (const milliseconds busy : {milliseconds{0}, milliseconds{400}}) {
        CAPTURE(busy.count);
        scripted_cluster cluster(1, reader_and_follower());
        REQUIRE(cluster.become_ready());
        std::optional<std::size_t> follower;
        const time_point until = event_loop::now() + milliseconds{15'000};
        while (!follower && event_loop::now() < until) {
            follower = follower_of_two(cluster);
        }
        REQUIRE(follower);
        wait(cluster, {1'000});
        set_store_busy_for(cluster, *follower, busy > milliseconds{0});
        cluster.daemons().processes.at(daemon_name(1 - *follower)).kill();
        cluster.remove(0);
        const time_point removed_at = event_loop::now();
        last_arrival_after(cluster, *follower, removed_at, busy);
        set_store_busy_for(cluster, *follower, false);
        const milliseconds last = last_arrival_after(cluster, *follower, removed_at, {4'000});
        CHECK(cluster.daemons().gauge_of(*follower, "follows_reader") == 0);
        MESSAGE("last request after ", last.count, " ms");
        CHECK(last <= milliseconds{reader_and_follower().drain_ms});
    }
}
