#include "route/return_time.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <initializer_list>
#include <map>
#include <queue>
#include <random>
#include <vector>

using namespace dandelionstep;

namespace {

// A service that refuses all requests for a while and then answers a limited number in each tick.
struct outage {
    std::int64_t lasts_ms = 0;
    double calls_per_ms = 0.1;
    std::int64_t tick_ms = 100;
    std::int64_t answers_per_tick = 40;
};

// Results of the callers whose first request came during the outage.
struct caller_result {
    //! Mean time from the end of the outage to the answer.
    double mean_delay_ms = 0;
    double attempts = 0;
    //! Largest number of requests in one tick.
    std::int64_t max_per_tick = 0;
};

using retry_rule = std::function<milliseconds(const refusal_streak& streak, time_point now, double draw)>;

struct pending_call {
    std::int64_t at = 0;
    int attempts = 0;
    bool operator>(const pending_call& other) const { return this->at > other.at; }
};

caller_result simulate(const outage& load, const retry_rule& rule)
{
    std::mt19937_64 random(7);
    std::exponential_distribution<double> pause(load.calls_per_ms);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::priority_queue<pending_call, std::vector<pending_call>, std::greater<>> pending;
    double at = 0;
    while (at < static_cast<double>(load.lasts_ms)) {
        pending.push({static_cast<std::int64_t>(at), 0});
        at += pause(random);
    }
    const auto callers = static_cast<double>(pending.size());
    std::map<std::int64_t, std::int64_t> arrived;
    std::map<std::int64_t, std::int64_t> answered;
    refusal_streak streak;
    caller_result result;
    while (!pending.empty()) {
        pending_call caller = pending.top();
        pending.pop();
        ++caller.attempts;
        const std::int64_t tick = caller.at / load.tick_ms;
        result.max_per_tick = std::max(result.max_per_tick, ++arrived[tick]);
        if (caller.at >= load.lasts_ms && answered[tick] < load.answers_per_tick) {
            ++answered[tick];
            clear_refusals(streak);
            result.mean_delay_ms += static_cast<double>(caller.at - load.lasts_ms) / callers;
            result.attempts += caller.attempts / callers;
            continue;
        }
        const time_point now{caller.at};
        record_refusal(streak, now);
        caller.at += rule(streak, now, uniform(random)).count;
        pending.push(caller);
    }
    return result;
}

milliseconds adaptive_rule(const refusal_streak& streak, time_point now, double draw)
{
    return retry_after_delay(refused_for(streak, now), std::nullopt, draw);
}

// Returns the same delay for every refusal.
retry_rule fixed_rule(std::int64_t ms)
{
    return [ms](const refusal_streak& /*span*/, time_point /*now*/, double /*draw*/) {
        return milliseconds{ms};
    };
}

} // namespace

TEST_CASE("after a short outage callers retry sooner than with a fixed delay that suits a long one")
{
    for (const std::int64_t lasts_ms : {200, 500, 1'000}) {
        CAPTURE(lasts_ms);
        outage load;
        load.lasts_ms = lasts_ms;
        CHECK(simulate(load, adaptive_rule).mean_delay_ms <
              simulate(load, fixed_rule(1'200)).mean_delay_ms / 2);
    }
}

TEST_CASE("in a long outage callers are refused less often than with a fixed delay that suits a short one")
{
    outage load;
    load.lasts_ms = 20'000;
    const caller_result result = simulate(load, adaptive_rule);
    const caller_result fixed = simulate(load, fixed_rule(300));
    CHECK(result.attempts < fixed.attempts / 2);
    // On average callers get an answer within a sixth of the outage's duration after its end.
    CHECK(result.mean_delay_ms < 3'000);
}

TEST_CASE("callers that were refused at the same moment do not retry at the same moment")
{
    std::mt19937_64 random(3);
    std::uniform_real_distribution<double> uniform(0, 1);
    constexpr int callers = 1'000;
    constexpr std::int64_t tick_ms = 50;
    std::map<std::int64_t, int> back;
    int max_together = 0;
    for (int i = 0; i < callers; ++i) {
        const milliseconds after = retry_after_delay({0}, milliseconds{800}, uniform(random));
        max_together = std::max(max_together, ++back[after.count / tick_ms]);
    }
    CHECK(max_together < callers / 5);
}

TEST_CASE("callers retry in time when the end of the outage is known")
{
    outage load;
    load.lasts_ms = 1'500;
    const retry_rule known_end = [&](const refusal_streak& /*span*/, time_point now, double draw) {
        const std::int64_t left = std::max<std::int64_t>(0, load.lasts_ms - now.count);
        return retry_after_delay({0}, milliseconds{left}, draw);
    };
    const caller_result result = simulate(load, known_end);
    CHECK(result.attempts < simulate(load, adaptive_rule).attempts);
    CHECK(result.mean_delay_ms < 600);
}

TEST_CASE("the delay is never zero and never longer than three seconds")
{
    for (const std::int64_t lasting : {0, 100, 5'000, 3'600'000}) {
        for (const double draw : {0.0, 0.5, 0.999}) {
            CAPTURE(lasting);
            CAPTURE(draw);
            const milliseconds unknown = retry_after_delay({lasting}, std::nullopt, draw);
            CHECK(unknown >= milliseconds{100});
            CHECK(unknown <= milliseconds{3'000});
            CHECK(retry_after_delay({lasting}, milliseconds{0}, draw) >= milliseconds{100});
            CHECK(retry_after_delay({lasting}, milliseconds{60'000}, draw) <= milliseconds{3'000});
        }
    }
}

TEST_CASE("an answer ends the streak of refusals, and so does a long time without refusals")
{
    refusal_streak streak;
    record_refusal(streak, {1'000});
    record_refusal(streak, {3'000});
    CHECK(refused_for(streak, {4'000}) == milliseconds{3'000});
    clear_refusals(streak);
    CHECK(refused_for(streak, {4'000}) == milliseconds{0});
    record_refusal(streak, {5'000});
    record_refusal(streak, {60'000});
    CHECK(refused_for(streak, {60'500}) == milliseconds{500});
}

TEST_CASE("the more requests are running, the sooner the first of them completes")
{
    CHECK(time_to_next_completion({6'000}, 30) == milliseconds{200});
    CHECK(time_to_next_completion({6'000}, 0) == milliseconds{6'000});
}

TEST_CASE("callers of targets in backoff get its whole duration as a delay, spread over some time")
{
    CHECK(retry_after_backoff({6'000}, 0) == milliseconds{6'000});
    CHECK(retry_after_backoff({6'000}, 0.999) > milliseconds{6'500});
    CHECK(retry_after_backoff({6'000}, 0.999) <= milliseconds{7'000});
    CHECK(retry_after_backoff({0}, 0) >= milliseconds{50});
}
