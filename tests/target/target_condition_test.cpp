#include "target/target_condition.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;

TEST_CASE("a target that can't be reached is left out for longer each time, up to a few seconds")
{
    target_condition condition;
    time_point now{10'000};
    milliseconds last_pause{0};
    for (int i = 0; i < 6; ++i) {
        note_failure(condition, target_failure::unreachable, now);
        const milliseconds pause = condition.avoid_until - now;
        CHECK_FALSE(is_usable(condition, now));
        CHECK(pause >= last_pause);
        CHECK(pause <= milliseconds{3'000});
        CHECK(is_usable(condition, condition.avoid_until));
        last_pause = pause;
        now = condition.avoid_until;
    }
}

TEST_CASE("a response puts a target back into use at once")
{
    target_condition condition;
    const time_point now{10'000};
    note_failure(condition, target_failure::silent, now);
    note_response(condition, {20}, now);
    CHECK(is_usable(condition, now));
    CHECK(condition.consecutive_failures == 0);
}

TEST_CASE("single faulty responses keep a target in use, several consecutive ones do not")
{
    target_condition condition;
    const time_point now{10'000};
    for (int i = 0; i < 3; ++i) {
        note_failure(condition, target_failure::faulty, now);
        CHECK(is_usable(condition, now));
    }
    note_failure(condition, target_failure::faulty, now);
    CHECK_FALSE(is_usable(condition, now));
}

TEST_CASE("the failure rate decays, so that a recovered target is tried again")
{
    target_condition condition;
    const time_point now{10'000};
    for (int i = 0; i < 10; ++i) {
        note_failure(condition, target_failure::faulty, now);
    }
    const double then = current_failure_rate(condition, now);
    CHECK(then > 0.8);
    CHECK(current_failure_rate(condition, now + milliseconds{20'000}) < then / 20);
}

TEST_CASE("refusals raise the load correction, which decays again")
{
    target_condition condition;
    const time_point now{10'000};
    CHECK(current_load_correction(condition, now) == 1);
    double last = 1;
    for (int i = 0; i < 3; ++i) {
        note_refusal(condition, {300}, now);
        CHECK(current_load_correction(condition, now) > last);
        last = current_load_correction(condition, now);
    }
    // Consecutive refusals keep the target out of use for 300, 600 and 1,200 ms.
    CHECK(condition.avoid_until == now + milliseconds{1'200});
    CHECK(current_load_correction(condition, now + milliseconds{60'000}) < 1.01);
    for (int i = 0; i < 100; ++i) {
        note_refusal(condition, {300}, now);
    }
    CHECK(current_load_correction(condition, now) <= 6);
}

TEST_CASE(
    "an engine that keeps refusing because it leaves is asked less and less often until it answers a request")
{
    target_condition condition;
    time_point now{10'000};
    int asked = 0;
    while (now < time_point{20'000}) {
        if (is_usable(condition, now)) {
            ++asked;
            note_refusal(condition, {300}, now);
        }
        now = now + milliseconds{10};
    }
    // Asking it every 300 ms would make 33 requests.
    CHECK(asked <= 8);
    note_response(condition, {20}, now);
    note_refusal(condition, {300}, now);
    CHECK(condition.avoid_until == now + milliseconds{300});
}

TEST_CASE("a target that left a probe unanswered is not used until it answers one")
{
    target_condition condition;
    const time_point now{10'000};
    note_unresponsive(condition, now);
    CHECK_FALSE(is_usable(condition, now + milliseconds{60'000}));
    note_probe_answer(condition);
    CHECK(is_usable(condition, now));
}

TEST_CASE("an answer to a probe does not make up for a failed request")
{
    target_condition condition;
    const time_point now{10'000};
    note_failure(condition, target_failure::broken, now);
    note_probe_answer(condition);
    CHECK_FALSE(is_usable(condition, now));
}

TEST_CASE("the values of an engine's report are used for a limited time")
{
    target_condition condition;
    const time_point now{10'000};
    CHECK(current_slowdown(condition, now) == 1);
    note_report(condition, 4, 0.9, now);
    CHECK(current_slowdown(condition, now + milliseconds{1'000}) == 4);
    CHECK(current_kv_cache_usage(condition, now + milliseconds{500}) == 0.9);
    CHECK(current_slowdown(condition, now + milliseconds{10'000}) == 1);
    CHECK(current_kv_cache_usage(condition, now + milliseconds{10'000}) == 0);
}

TEST_CASE("the prefill load of an engine is a rate that follows the prompts within about a second")
{
    target_condition condition;
    constexpr double token_layers = 5'000;
    constexpr std::int64_t interval_ms = 50;
    std::int64_t now = 1'000;
    for (int prompt = 0; prompt < 200; ++prompt) {
        now += interval_ms;
        note_prefill(condition, token_layers, {now});
    }
    CHECK(current_prefill_load(condition, {now}) ==
          doctest::Approx(token_layers / interval_ms).epsilon(0.05));
    CHECK(current_prefill_load(condition, {now + 1'000}) ==
          doctest::Approx(current_prefill_load(condition, {now}) / 2).epsilon(0.001));
    CHECK(current_prefill_load(condition, {now + 10'000}) < 1);
}

TEST_CASE("a backoff lasts as long as the target asked for, extended at random by up to the spread")
{
    constexpr time_point now{10'000};
    constexpr backoff_limits limits{.longest = {5'000}, .spread = 0.2, .longest_spread_base = {5'000}};
    target_condition condition;
    CHECK_FALSE(is_backing_off(condition, now));
    note_backoff(condition, {1'000}, limits, 0.5, now);
    CHECK(is_backing_off(condition, now + milliseconds{1'099}));
    CHECK_FALSE(is_backing_off(condition, now + milliseconds{1'100}));

    SUBCASE("a shorter backoff does not end a longer one")
    {
        note_backoff(condition, {10}, limits, 0, now);
        CHECK(is_backing_off(condition, now + milliseconds{1'099}));
    }
    SUBCASE("no backoff is longer than the limit")
    {
        note_backoff(condition, {3'600'000}, limits, 0, now);
        CHECK(is_backing_off(condition, now + milliseconds{4'999}));
        CHECK_FALSE(is_backing_off(condition, now + milliseconds{5'000}));
    }
}

TEST_CASE("after a backoff a target starts slowly: the limit on its requests doubles with each response")
{
    constexpr time_point now{10'000};
    target_condition condition;
    CHECK(is_below_slow_start_limit(condition, 1'000));
    note_backoff(condition, {100}, {}, 0, now);
    CHECK(is_below_slow_start_limit(condition, 0));
    CHECK_FALSE(is_below_slow_start_limit(condition, 1));
    note_response(condition, {5}, now);
    CHECK(is_below_slow_start_limit(condition, 1));
    CHECK_FALSE(is_below_slow_start_limit(condition, 2));
    for (int i = 0; i < 6; ++i) {
        note_response(condition, {5}, now);
    }
    CHECK(is_below_slow_start_limit(condition, 1'000));
}
