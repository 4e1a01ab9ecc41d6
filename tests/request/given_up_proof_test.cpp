#include "support/generation_bench.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

void fail_until_refused(generation_bench& bench, std::vector<generation_action>& last)
{
    for (std::size_t i = 0; generation_bench::refused(last) == nullptr && i < 100; ++i) {
        last = bench.fail(attempt_failure::reset, "");
        bench.state.excluded.clear();
    }
}

} // namespace

TEST_CASE("a request that the router gives up is refused in the same step, with a correct outcome")
{
    struct row {
        std::string name;
        std::function<std::vector<generation_action>(generation_bench&)> event;
        error_code code;
        outcome result;
        bool has_retry_after;
    };
    const std::vector<row> rows{
        {"no replica at the start",
         [](generation_bench& bench) {
             bench.long_dead = {"1a", "1b"};
             return bench.on(generation_started{});
         },
         error_code::no_capacity, outcome::not_run, true},
        {"the deadline has passed before the start",
         [](generation_bench& bench) {
             bench.now = bench.state.request.deadline;
             return bench.on(generation_started{});
         },
         error_code::deadline_exceeded, outcome::not_run, true},
        {"both replicas refuse",
         [](generation_bench& bench) {
             bench.on(generation_started{});
             bench.fail(attempt_failure::refused, "0a");
             return bench.fail(attempt_failure::refused, "0b");
         },
         error_code::no_capacity, outcome::not_run, true},
        {"one replica refuses, the other breaks",
         [](generation_bench& bench) {
             bench.on(generation_started{});
             bench.fail(attempt_failure::refused, "0a");
             bench.fail(attempt_failure::reset, "0b");
             return bench.fail(attempt_failure::not_connected, "0b");
         },
         error_code::no_capacity, outcome::unknown, true},
        {"one replica breaks, the other can't be reached",
         [](generation_bench& bench) {
             bench.on(generation_started{});
             bench.fail(attempt_failure::reset, "0a");
             bench.fail(attempt_failure::not_connected, "0b");
             return bench.fail(attempt_failure::not_connected, "0a");
         },
         error_code::no_capacity, outcome::unknown, true},
        {"no replica is left in the middle of the answer",
         [](generation_bench& bench) {
             bench.answer_tokens(5);
             bench.fail(attempt_failure::unreachable, "1a");
             return bench.fail(attempt_failure::token_gap, "1b");
         },
         error_code::no_capacity, outcome::unknown, true},
        {"the deadline passes in the middle of the answer",
         [](generation_bench& bench) {
             bench.answer_tokens(5);
             bench.now = bench.state.request.deadline;
             return bench.on(clock_ticked{});
         },
         error_code::deadline_exceeded, outcome::unknown, true},
        {"a failure after the deadline",
         [](generation_bench& bench) {
             bench.answer_tokens(5);
             bench.now = bench.state.request.deadline;
             return bench.fail(attempt_failure::reset, "1a");
         },
         error_code::deadline_exceeded, outcome::unknown, true},
        {"all attempts are used up",
         [](generation_bench& bench) {
             bench.answer_tokens(1);
             std::vector<generation_action> last;
             fail_until_refused(bench, last);
             return last;
         },
         error_code::target_failed, outcome::unknown, true},
    };
    for (const row& each : rows) {
        CAPTURE(each.name);
        generation_bench bench;
        const auto actions = each.event(bench);
        const refusal* why = generation_bench::refused(actions);
        REQUIRE(why != nullptr);
        CHECK(to_string(why->code) == to_string(each.code));
        CHECK(to_string(why->result) == to_string(each.result));
        CHECK((why->retry_after.count > 0) == each.has_retry_after);
        CHECK(generation_bench::opening(actions) == nullptr);
        CHECK(bench.state.finished);
        // Later events neither change nor repeat the refusal.
        CHECK(bench.on(clock_ticked{}).empty());
        CHECK(bench.on(token_received{bench.state.attempt, {0}, "late "}).empty());
    }
}

TEST_CASE("the number of attempts is bounded whatever fails")
{
    generation_bench bench;
    bench.on(generation_started{});
    std::vector<generation_action> last;
    fail_until_refused(bench, last);
    CHECK(bench.state.attempt.value == bench.state.limits.max_attempts);
}
