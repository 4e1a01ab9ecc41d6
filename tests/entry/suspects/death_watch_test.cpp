#include "dialect.hpp"
#include "entry/suspects/death_watch.hpp"
#include "support/scripted_peer.hpp"

#include <doctest/doctest.h>
#include <vector>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr incarnation first_start{100};

struct watched_target {
    event_loop loop;
    entry_context context{this->loop, platform::users_platform(), {}};
    death_watch deaths{this->context};
    std::vector<possible_death> died;

    watched_target()
    {
        this->deaths.on_death = [this](const possible_death& death) { this->died.push_back(death); };
    }

    void register_at(const endpoint& address, bool leaving, incarnation started = first_start,
                     const std::string& data_centre = "")
    {
        registered_target target;
        target.id = target_id("t");
        target.data_centre = data_centre_id(data_centre);
        target.address = address;
        target.leaving = leaving;
        target.started = started;
        this->context.targets[target.id] = target;
    }

    void lose(std::int64_t request)
    {
        this->deaths.consider({target_id("t"), first_start, request_fingerprint{request}, {}, "a"});
    }

    void wait()
    {
        run_until(this->loop, [] { return false; }, {100});
    }
};

endpoint nobody(event_loop& loop)
{
    const scripted_server closed(loop, [](raw_connection& /*connection*/) {});
    return closed.address();
}

} // namespace

TEST_CASE("every request that was on a target that refuses connections is told, after one check for all")
{
    watched_target watched;
    watched.register_at(nobody(watched.loop), false);
    watched.lose(1);
    watched.lose(2);
    watched.wait();
    CHECK(watched.died.size() == 2);
    CHECK(watched.context.channels.counts().opened == 1);
    watched.lose(3);
    REQUIRE(watched.died.size() == 3);
    CHECK(watched.died.back().request == request_fingerprint{3});
    CHECK(watched.context.metrics.deaths_under_requests == 3);
}

TEST_CASE("a target that still accepts connections did not die")
{
    watched_target watched;
    const scripted_server server(watched.loop, [](raw_connection& /*connection*/) {});
    watched.register_at(server.address(), false);
    watched.lose(1);
    watched.wait();
    CHECK(watched.died.empty());
}

TEST_CASE("a target that leaves, or is registered no more, ends as planned")
{
    watched_target watched;
    watched.lose(1);
    watched.register_at(nobody(watched.loop), true);
    watched.lose(2);
    watched.wait();
    CHECK(watched.died.empty());
}

TEST_CASE("a new process of the target proves the death of the one before")
{
    watched_target watched;
    const scripted_server server(watched.loop, [](raw_connection& /*connection*/) {});
    watched.register_at(server.address(), false, incarnation{200});
    watched.lose(1);
    CHECK(watched.died.size() == 1);
}

TEST_CASE("a new process that registers later proves a death although something accepts connections")
{
    watched_target watched;
    const scripted_server server(watched.loop, [](raw_connection& /*connection*/) {});
    watched.register_at(server.address(), false);
    watched.lose(1);
    watched.lose(2);
    watched.wait();
    REQUIRE(watched.died.empty());
    watched.deaths.clear(request_fingerprint{2});
    watched.register_at(server.address(), false, incarnation{200});
    run_until(watched.loop, [&] { return !watched.died.empty(); }, {1'000});
    REQUIRE(watched.died.size() == 1);
    CHECK(watched.died.front().request == request_fingerprint{1});
}

TEST_CASE("a target that leaves after a connection broke did not die, whatever registers next")
{
    watched_target watched;
    const scripted_server server(watched.loop, [](raw_connection& /*connection*/) {});
    watched.register_at(server.address(), false);
    watched.lose(1);
    watched.wait();
    watched.register_at(server.address(), true);
    run_until(watched.loop, [] { return false; }, {300});
    watched.register_at(server.address(), false, incarnation{200});
    run_until(watched.loop, [] { return false; }, {300});
    CHECK(watched.died.empty());
}

TEST_CASE("a process where nobody listens any more is known to have ended, also with no request aboard")
{
    watched_target watched;
    int told = 0;
    watched.context.on_ended = [&told] { ++told; };
    const auto ended = [&] {
        return has_ended(watched.context.ended, target_id("t"), first_start, event_loop::now());
    };
    SUBCASE("under a request")
    {
        watched.register_at(nobody(watched.loop), false);
        watched.lose(1);
        watched.wait();
        CHECK(ended());
        CHECK(told == 1);
    }
    SUBCASE("when a connection could not be made")
    {
        watched.register_at(nobody(watched.loop), false);
        watched.deaths.consider_ended(target_id("t"), first_start);
        watched.deaths.consider_ended(target_id("t"), first_start);
        watched.wait();
        CHECK(ended());
        CHECK(told == 1);
        CHECK(watched.died.empty());
    }
    SUBCASE("not the next process, nor one of another data centre, which a cut may keep away")
    {
        watched.register_at(nobody(watched.loop), false, incarnation{200});
        watched.deaths.consider_ended(target_id("t"), first_start);
        watched.register_at(nobody(watched.loop), false, first_start, "elsewhere");
        watched.lose(1);
        watched.wait();
        CHECK_FALSE(ended());
        CHECK(told == 0);
    }
}
