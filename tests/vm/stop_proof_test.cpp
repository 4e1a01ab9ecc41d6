#include "vm/planned_stop.hpp"

#include <doctest/doctest.h>
#include <vector>

using namespace dandelionstep;

TEST_CASE("a request is admitted during a stop only if it ends before the remaining work is given up")
{
    const stop_limits limits{{1'000}, {8'000}, {200}};
    stop_state state{{10'000}, false, {0}};
    CHECK(ends_in_time(state, limits, {600}, {10'000}));
    CHECK(ends_in_time(state, limits, {600}, {17'399}));
    CHECK_FALSE(ends_in_time(state, limits, {600}, {17'400}));
    CHECK_FALSE(ends_in_time(state, limits, {9'000}, {10'000}));
    state.gave_up = true;
    CHECK_FALSE(ends_in_time(state, limits, {1}, {10'000}));
}

TEST_CASE("a planned stop ends when all work is done, or at its limit")
{
    using enum stop_step;
    const stop_limits limits{
        .balancer_notice = {1000}, .drain_limit = {5000}, .flush_time = {200}, .peer_notice = {3000}};
    struct row {
        const char* name;
        remaining_work left;
        bool stop_now;
        std::int64_t waited_ms;
        stop_step next;
    };
    const std::vector<row> rows{
        {"idle, but the load balancer may not know yet", {0, 0, 0}, false, 999, wait},
        {"idle after the notice", {0, 0, 0}, false, 1000, exit},
        {"a request runs", {1, 0, 0}, false, 4999, wait},
        {"an order's answer is not written yet", {0, 1, 0}, false, 4999, wait},
        {"a caller has not received its whole answer", {0, 0, 1}, false, 4999, wait},
        {"no peer has heard of the stop", {0, 0, 0, 1}, false, 2999, wait},
        {"no peer has heard of the stop in time", {0, 0, 0, 1}, false, 3000, exit},
        {"a second signal while no peer has heard of the stop", {0, 0, 0, 1}, true, 10, exit},
        {"a request runs at the limit", {1, 0, 0}, false, 5000, give_up},
        {"a second signal while a request runs", {1, 0, 0}, true, 10, give_up},
        {"a second signal while idle", {0, 0, 0}, true, 10, exit},
    };
    for (const row& each : rows) {
        CAPTURE(each.name);
        stop_state state{.began = {100}, .gave_up = false, .gave_up_at = {}};
        CHECK(advance(state, each.left, limits, each.stop_now, {100 + each.waited_ms}) == each.next);
    }
}

TEST_CASE("the remaining work is given up once, and the last answers get time to reach their callers")
{
    const stop_limits limits{.balancer_notice = {1000}, .drain_limit = {5000}, .flush_time = {200}};
    stop_state state{.began = {0}, .gave_up = false, .gave_up_at = {}};
    const remaining_work left{.requests_in_flight = 2, .unwritten_orders = 0, .unsent_answers = 2};
    CHECK(advance(state, left, limits, false, {5000}) == stop_step::give_up);
    CHECK(advance(state, left, limits, false, {5199}) == stop_step::wait);
    CHECK(advance(state, left, limits, true, {5199}) == stop_step::wait);
    CHECK(advance(state, left, limits, false, {5200}) == stop_step::exit);
}
