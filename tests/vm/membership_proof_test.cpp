// Daemons agree on the membership within seconds, also after crashes, freezes, restarts, message loss and
// partitions.
#include "vm/fake_network.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <iostream>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

// A change that is to be in force everywhere within 20 s has to reach every member, so the membership has to
// converge within that time as well.
constexpr milliseconds convergence_time{20'000};
constexpr std::uint64_t seeds = 12;

template <class Body>
void for_each_seed(Body body)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        fake_network net(seed, 3, 6);
        REQUIRE(net.run_until([&] { return net.all_alive(); }, convergence_time));
        body(net);
    }
}

member_message message_of(const member& sender, const std::vector<member>& members)
{
    return {.sender = sender,
            .members = members,
            .digest = 0,
            .wants_full_table = false,
            .probe = {},
            .confirmed = {}};
}

} // namespace

TEST_CASE("daemons that know only a few seeds find all other daemons")
{
    for_each_seed([](fake_network& net) { CHECK(net.all_alive()); });
}

TEST_CASE("a killed daemon is known to be dead everywhere, and no other daemon is")
{
    for_each_seed([](fake_network& net) {
        net.nodes[4].running = false;
        CHECK(net.run_until([&] { return net.all_see(4, member_state::dead); }, convergence_time));
        net.run({60'000});
        CHECK(net.deaths == 17);
    });
}

TEST_CASE("a daemon that leaves is known to have left, without suspicion")
{
    for_each_seed([](fake_network& net) {
        net.carry_out(4, leave(net.nodes[4].state, net.now));
        net.nodes[4].running = false;
        CHECK(net.run_until([&] { return net.all_see(4, member_state::left); }, convergence_time));
        CHECK(net.deaths == 0);
    });
}

TEST_CASE("a daemon whose notice that it leaves was lost tells it again at the next tick")
{
    for_each_seed([](fake_network& net) {
        net.cut = [](std::size_t, std::size_t) { return true; };
        net.carry_out(4, leave(net.nodes[4].state, net.now));
        net.cut = [](std::size_t, std::size_t) { return false; };
        CHECK(is_leave_unheard(net.nodes[4].state));
        net.run({100});
        CHECK_FALSE(is_leave_unheard(net.nodes[4].state));
    });
}

TEST_CASE("a notice that was heard by a daemon which then leaves before it told it is not lost")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        fake_network net(seed, 1, 3);
        REQUIRE(net.run_until([&] { return net.all_alive(); }, convergence_time));
        net.cut = [](std::size_t from, std::size_t to) { return from == 0 || to == 0; };
        net.carry_out(1, leave(net.nodes[1].state, net.now));
        CHECK_FALSE(is_leave_unheard(net.nodes[1].state));
        net.nodes[1].running = false;
        net.carry_out(2, leave(net.nodes[2].state, net.now));
        net.run({2'000});
        CHECK(is_leave_unheard(net.nodes[2].state));
        net.cut = [](std::size_t, std::size_t) { return false; };
        net.run({100});
        CHECK_FALSE(is_leave_unheard(net.nodes[2].state));
        CHECK(net.view(1, 0) == member_state::left);
        CHECK(net.view(2, 0) == member_state::left);
    }
}

TEST_CASE("an answer of a daemon that leaves too, or does not know the leaving one, is no sign that it heard")
{
    const member leaving{.vm = vm_id("vm0"),
                         .data_centre = data_centre_id("dc0"),
                         .peer_address = fake_network::address_of(0),
                         .operator_address = {},
                         .started = {1'000}};
    const auto seen_as = [&](member_state state, std::int64_t started) {
        member seen = leaving;
        seen.state = state;
        seen.started = {started};
        return std::vector{seen};
    };
    struct row {
        const char* name;
        const char* data_centre;
        member_state answers_as;
        std::vector<member> told;
        bool is_heard;
    };
    using enum member_state;
    const std::vector<row> rows{
        {"it stays and has heard it", "dc0", alive, seen_as(left, 1'000), true},
        {"it leaves too", "dc0", left, seen_as(left, 1'000), false},
        {"it does not know the daemon", "dc0", alive, {}, false},
        {"it suspects the daemon", "dc0", alive, seen_as(suspect, 1'000), false},
        {"it means an earlier process", "dc0", alive, seen_as(left, 999), false},
        {"it is in another data centre", "dc1", alive, seen_as(left, 1'000), false},
    };
    for (const row& each : rows) {
        CAPTURE(each.name);
        membership state;
        state.self = leaving;
        member answering{.vm = vm_id("vm1"),
                         .data_centre = data_centre_id(each.data_centre),
                         .peer_address = fake_network::address_of(1),
                         .operator_address = {},
                         .started = {1'000}};
        member staying = answering;
        staying.vm = vm_id("vm2");
        staying.data_centre = leaving.data_centre;
        on_message(state, message_of(answering, {}), {10'000});
        on_message(state, message_of(staying, {}), {10'000});
        leave(state, {10'000});
        CHECK(is_leave_unheard(state));
        answering.state = each.answers_as;
        on_message(state, message_of(answering, each.told), {10'000});
        CHECK(is_leave_unheard(state) != each.is_heard);
    }
}

TEST_CASE("lost messages don't kill a live daemon")
{
    for_each_seed([](fake_network& net) {
        net.lost_per_mille = 50;
        net.run({300'000});
        CHECK(net.deaths == 0);
    });
}

TEST_CASE("a daemon that one other daemon can't reach is probed through others")
{
    for_each_seed([](fake_network& net) {
        net.cut = [](std::size_t from, std::size_t to) {
            return (from == 1 && to == 2) || (from == 2 && to == 1);
        };
        net.run({120'000});
        CHECK(net.deaths == 0);
        CHECK(net.all_alive());
    });
}

TEST_CASE("a frozen daemon that comes back suspects no other one and is alive with a higher incarnation")
{
    for_each_seed([](fake_network& net) {
        const incarnation before = net.nodes[4].state.self.started;
        net.nodes[4].running = false;
        REQUIRE(net.run_until([&] { return net.all_see(4, member_state::dead); }, convergence_time));
        const int deaths = net.deaths;
        net.nodes[4].running = true;
        CHECK(net.run_until([&] { return net.all_alive(); }, convergence_time));
        CHECK(net.nodes[4].state.self.started > before);
        CHECK(net.deaths == deaths);
    });
}

TEST_CASE("a freeze shorter than the suspicion timeout causes no death")
{
    for_each_seed([](fake_network& net) {
        net.nodes[4].running = false;
        net.run({2900});
        net.nodes[4].running = true;
        net.run({30'000});
        CHECK(net.deaths == 0);
        CHECK(net.all_alive());
    });
}

TEST_CASE("a frozen daemon does not let a suspicion expire that was refuted meanwhile")
{
    for_each_seed([](fake_network& net) {
        net.nodes[5].running = false;
        REQUIRE(net.run_until([&] { return net.view(5, 1) == member_state::suspect; }, convergence_time));
        net.nodes[1].running = false;
        net.nodes[5].running = true;
        net.run({60'000});
        const int deaths = net.deaths;
        net.nodes[1].running = true;
        net.run({30'000});
        CHECK(net.view(5, 1) == member_state::alive);
        CHECK(net.deaths == deaths);
    });
}

TEST_CASE("a suspect in another data centre, cut off before it refutes, is not declared dead from outside")
{
    for_each_seed([](fake_network& net) {
        net.nodes[4].running = false;
        REQUIRE(net.run_until([&] { return net.view(4, 13) == member_state::suspect; }, convergence_time));
        net.cut = [](std::size_t from, std::size_t to) { return from / 6 != to / 6; };
        net.nodes[4].running = true;
        net.run({60'000});
        CHECK(net.view(4, 1) == member_state::alive);
        CHECK(net.view(4, 13) == member_state::suspect);
        net.cut = [](std::size_t, std::size_t) { return false; };
        CHECK(net.run_until([&] { return net.all_alive(); }, convergence_time));
    });
}

TEST_CASE("halves of the only data centre find each other again")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        fake_network net(seed, 1, 8);
        REQUIRE(net.run_until([&] { return net.all_alive(); }, convergence_time));
        net.cut = [](std::size_t from, std::size_t to) { return (from < 4) != (to < 4); };
        net.run({300'000});
        CHECK(net.view(1, 6) == member_state::dead);
        net.cut = [](std::size_t, std::size_t) { return false; };
        CHECK(net.run_until([&] { return net.all_alive(); }, convergence_time));
    }
}

TEST_CASE("a daemon restarted at its address is alive again, also when its clock went back")
{
    for (const std::int64_t started : {9'000'000LL, 1LL}) {
        CAPTURE(started);
        for_each_seed([&](fake_network& net) {
            net.nodes[4].running = false;
            net.run({1500});
            net.restart(4, {started});
            CHECK(net.run_until([&] { return net.all_alive(); }, convergence_time));
            net.run({30'000});
            CHECK(net.all_alive());
        });
    }
}

TEST_CASE("data centres that are cut off keep each other's members and agree again after the partition")
{
    for_each_seed([](fake_network& net) {
        net.cut = [](std::size_t from, std::size_t to) { return from / 6 != to / 6; };
        net.run({900'000});
        CHECK(net.all_alive());
        net.nodes[4].running = false;
        net.run({30'000});
        CHECK(net.view(4, 1) == member_state::dead);
        CHECK(net.view(4, 13) == member_state::alive);
        net.cut = [](std::size_t, std::size_t) { return false; };
        CHECK(net.run_until([&] { return net.all_see(4, member_state::dead); }, convergence_time));
    });
}

TEST_CASE("halves of one data centre that were cut apart find each other again")
{
    for_each_seed([](fake_network& net) {
        net.cut = [](std::size_t from, std::size_t to) {
            return from < 6 && to < 6 && (from < 3) != (to < 3);
        };
        net.run({300'000});
        net.cut = [](std::size_t, std::size_t) { return false; };
        CHECK(net.run_until([&] { return net.all_alive(); }, convergence_time));
    });
}

TEST_CASE("an isolated daemon still counts itself and rejoins later")
{
    for_each_seed([](fake_network& net) {
        net.cut = [](std::size_t from, std::size_t to) { return from == 3 || to == 3; };
        net.run({120'000});
        CHECK(live_members(net.nodes[3].state, data_centre_id("dc0")) == std::vector{vm_id("vm3")});
        CHECK(is_chosen(net.nodes[3].state, "poll", 1));
        net.cut = [](std::size_t, std::size_t) { return false; };
        CHECK(net.run_until([&] { return net.all_alive(); }, convergence_time));
    });
}

TEST_CASE("daemons join while others fail, and the kept state stays bounded")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        CAPTURE(seed);
        fake_network net(seed, 3, 6);
        net.run({20'000});
        constexpr std::size_t replaced = 60;
        for (std::size_t i = 0; i < replaced; ++i) {
            net.add(i % 3, {static_cast<std::int64_t>(5000 + i)});
            net.nodes.back().state.seeds = net.nodes.front().state.seeds;
            for (std::size_t d = 0; d < 3; ++d) {
                net.nodes.back().state.seeds.push_back(fake_network::address_of(d * 6 + 5));
            }
            net.begin(net.nodes.size() - 1);
            // The first daemon of each data centre stays, so that the seeds still work.
            net.nodes[i < 12 ? i + 1 + i / 5 : i + 6].running = i % 6 == 5;
            net.run({4000});
        }
        net.run({60'000});
        CHECK(net.all_alive());
        net.run({700'000});
        std::size_t running = 0;
        for (const auto& each : net.nodes) {
            running += each.running ? 1 : 0;
        }
        for (const auto& each : net.nodes) {
            if (each.running) {
                CHECK(each.state.others.size() == running - 1);
            }
        }
        CHECK(net.most_updates <= membership_limits{}.updates_per_message + 1);
    }
}

TEST_CASE("updates about members give the same result in any order and any number of times")
{
    std::mt19937_64 random(7);
    for (int run = 0; run < 2000; ++run) {
        std::vector<member> updates;
        for (int i = 0; i < 12; ++i) {
            member each;
            each.vm = vm_id("vm" + std::to_string(random() % 3));
            each.started = {static_cast<std::int64_t>(random() % 4)};
            each.state = static_cast<member_state>(random() % 2);
            updates.push_back(each);
        }
        std::map<vm_id, std::pair<incarnation, member_state>> naive;
        for (const member& each : updates) {
            naive[each.vm] = std::max(naive[each.vm], {each.started, each.state});
        }
        for (int order = 0; order < 4; ++order) {
            membership state;
            membership_actions ignored;
            std::ranges::shuffle(updates, random);
            for (const member& each : updates) {
                merge_member(state, ignored, each, time_point{});
                merge_member(state, ignored, updates[random() % updates.size()], time_point{});
            }
            for (const auto& [vm, expected] : naive) {
                const member& held = state.others.at(vm).info;
                CHECK(std::pair(held.started, held.state) == expected);
            }
        }
    }
}

TEST_CASE("at 420 daemons in 11 data centres a daemon sends a few messages a second")
{
    fake_network net(5, 11, 38);
    REQUIRE(net.run_until([&] { return net.all_alive(); }, {60'000}));
    net.run({30'000});
    net.messages = 0;
    net.members_sent = 0;
    net.run({60'000});
    const auto daemons = static_cast<std::int64_t>(net.nodes.size());
    // All control traffic that a daemon sends and receives is bounded by 24 KB a second.
    constexpr std::int64_t bytes_per_member = 90;
    constexpr std::int64_t bytes_per_message = 400;
    const std::int64_t sent_and_received =
        2 * (net.messages * bytes_per_message + net.members_sent * bytes_per_member) / daemons / 60;
    MESSAGE("bytes per second and daemon, with assumed sizes of messages and members: " << sent_and_received);
    CHECK(sent_and_received < 24'000);
}
