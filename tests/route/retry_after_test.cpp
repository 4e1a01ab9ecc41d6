#include "route/retry_after.hpp"

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

// Callers of a service that answers nobody for a while, and then so many in each tick.
struct outage {
    std::int64_t lasts_ms = 0;
    double calls_per_ms = 0.1;
    std::int64_t tick_ms = 100;
    std::int64_t answers_per_tick = 40;
};

// What the callers got who came during the outage.
struct callers_lot {
    //! Mean time from the return of capacity to the answer.
    double late_ms = 0;
    double tries = 0;
    //! Most of them that came in one tick.
    std::int64_t most_at_once = 0;
};

using return_rule = std::function<milliseconds(const refusal_streak& span, time_point now, double draw)>;

struct coming_caller {
    std::int64_t at = 0;
    int tries = 0;
    bool operator>(const coming_caller& other) const { return this->at > other.at; }
};

callers_lot play(const outage& load, const return_rule& rule)
{
    std::mt19937_64 random(7);
    std::exponential_distribution<double> pause(load.calls_per_ms);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::priority_queue<coming_caller, std::vector<coming_caller>, std::greater<>> coming;
    double at = 0;
    while (at < static_cast<double>(load.lasts_ms)) {
        coming.push({static_cast<std::int64_t>(at), 0});
        at += pause(random);
    }
    const auto callers = static_cast<double>(coming.size());
    std::map<std::int64_t, std::int64_t> came;
    std::map<std::int64_t, std::int64_t> answered;
    refusal_streak span;
    callers_lot lot;
    while (!coming.empty()) {
        coming_caller caller = coming.top();
        coming.pop();
        ++caller.tries;
        const std::int64_t tick = caller.at / load.tick_ms;
        lot.most_at_once = std::max(lot.most_at_once, ++came[tick]);
        if (caller.at >= load.lasts_ms && answered[tick] < load.answers_per_tick) {
            ++answered[tick];
            clear_refusals(span);
            lot.late_ms += static_cast<double>(caller.at - load.lasts_ms) / callers;
            lot.tries += caller.tries / callers;
            continue;
        }
        const time_point now{caller.at};
        record_refusal(span, now);
        caller.at += rule(span, now, uniform(random)).count;
        coming.push(caller);
    }
    return lot;
}

milliseconds told(const refusal_streak& span, time_point now, double draw)
{
    return retry_after_delay(refused_for(span, now), std::nullopt, draw);
}

// The simple rules: the same figure for all, whatever is known.
return_rule always(std::int64_t ms)
{
    return [ms](const refusal_streak& /*span*/, time_point /*now*/, double /*draw*/) {
        return milliseconds{ms};
    };
}

} // namespace

TEST_CASE("after a short outage callers are back sooner than by a fixed time that spares a long one")
{
    for (const std::int64_t lasts_ms : {200, 500, 1'000}) {
        CAPTURE(lasts_ms);
        outage load;
        load.lasts_ms = lasts_ms;
        CHECK(play(load, told).late_ms < play(load, always(1'200)).late_ms / 2);
    }
}

TEST_CASE("in a long outage callers are refused less often than by a fixed time that suits a short one")
{
    outage load;
    load.lasts_ms = 20'000;
    const callers_lot lot = play(load, told);
    const callers_lot simple = play(load, always(300));
    CHECK(lot.tries < simple.tries / 2);
    // Each waits less than a sixth of the outage for its end to be noticed.
    CHECK(lot.late_ms < 3'000);
}

TEST_CASE("callers who were refused at the same moment do not come back at the same moment")
{
    std::mt19937_64 random(3);
    std::uniform_real_distribution<double> uniform(0, 1);
    constexpr int callers = 1'000;
    constexpr std::int64_t tick_ms = 50;
    std::map<std::int64_t, int> back;
    int most = 0;
    for (int i = 0; i < callers; ++i) {
        const milliseconds after = retry_after_delay({0}, milliseconds{800}, uniform(random));
        most = std::max(most, ++back[after.count / tick_ms]);
    }
    CHECK(most < callers / 5);
}

TEST_CASE("who is told of capacity that is awaited comes back when it is there")
{
    outage load;
    load.lasts_ms = 1'500;
    const return_rule awaited = [&](const refusal_streak& /*span*/, time_point now, double draw) {
        const std::int64_t left = std::max<std::int64_t>(0, load.lasts_ms - now.count);
        return retry_after_delay({0}, milliseconds{left}, draw);
    };
    const callers_lot lot = play(load, awaited);
    CHECK(lot.tries < play(load, told).tries);
    CHECK(lot.late_ms < 600);
}

TEST_CASE("the time told is never nothing and never longer than three seconds")
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

TEST_CASE("an answer ends the refusals, and so does a long time without any request")
{
    refusal_streak span;
    record_refusal(span, {1'000});
    record_refusal(span, {3'000});
    CHECK(refused_for(span, {4'000}) == milliseconds{3'000});
    clear_refusals(span);
    CHECK(refused_for(span, {4'000}) == milliseconds{0});
    record_refusal(span, {5'000});
    record_refusal(span, {60'000});
    CHECK(refused_for(span, {60'500}) == milliseconds{500});
}

TEST_CASE("of many running requests one ends soon")
{
    CHECK(time_to_next_completion({6'000}, 30) == milliseconds{200});
    CHECK(time_to_next_completion({6'000}, 0) == milliseconds{6'000});
}

TEST_CASE("callers of targets that rest are told the whole rest, and come back spread")
{
    CHECK(retry_after_backoff({6'000}, 0) == milliseconds{6'000});
    CHECK(retry_after_backoff({6'000}, 0.999) > milliseconds{6'500});
    CHECK(retry_after_backoff({6'000}, 0.999) <= milliseconds{7'000});
    CHECK(retry_after_backoff({0}, 0) >= milliseconds{50});
}
