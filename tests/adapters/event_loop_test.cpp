#include "adapters/event_loop.hpp"
#include "support/scripted_peer.hpp"

#include <chrono>
#include <doctest/doctest.h>
#include <optional>
#include <thread>

using namespace dandelionstep;
using namespace dandelionstep::testing;

TEST_CASE("what is to run at a time never runs before it, however long the loop was busy")
{
    event_loop loop;
    for (int round = 0; round < 20; ++round) {
        std::optional<time_point> ran_at;
        time_point due;
        event_loop::timer timer;
        loop.post([&] {
            // The loop's own idea of the time is that long in the past when the timer is made.
            std::this_thread::sleep_for(std::chrono::milliseconds(12));
            due = event_loop::now() + milliseconds{10};
            timer = loop.run_at(due, [&] { ran_at = event_loop::now(); });
        });
        REQUIRE(run_until(loop, [&] { return ran_at.has_value(); }));
        CHECK(*ran_at >= due);
    }
}

TEST_CASE("what was to run at a time does not when its timer is gone")
{
    event_loop loop;
    bool ran = false;
    event_loop::timer timer = loop.run_at(event_loop::now() + milliseconds{20}, [&] { ran = true; });
    timer = {};
    run_until(loop, [] { return false; }, {60});
    CHECK_FALSE(ran);
}
