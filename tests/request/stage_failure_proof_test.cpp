#include "support/generation_bench.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;
using namespace dandelionstep::testing;

TEST_CASE("an answer continues through another replica of the failed stage and keeps the other stages")
{
    struct row {
        std::string name;
        attempt_failure failure;
        const char* culprit;
        const char* suspected;
        const char* next_chain;
    };
    const std::vector<row> rows{
        {"the first hop was reset", attempt_failure::reset, "0a", "0a", "0b 1a 2a"},
        {"the first hop refused the connection", attempt_failure::not_connected, "0a", "0a", "0b 1a 2a"},
        {"the first hop refused the request", attempt_failure::refused, "0a", "0a", "0b 1a 2a"},
        {"a middle hop was named", attempt_failure::reset, "1a", "1a", "0a 1b 2a"},
        {"the last hop was named", attempt_failure::reset, "2a", "2a", "0a 1a 2b"},
        {"a hop can't be reached", attempt_failure::unreachable, "1a", "1a", "0a 1b 2a"},
        {"a hop is unresponsive", attempt_failure::token_gap, "2a", "2a", "0a 1a 2b"},
        {"no hop was named", attempt_failure::protocol, "", "0a", "0b 1a 2a"},
        {"a target outside the chain was named", attempt_failure::reset, "2b", "0a", "0b 1a 2a"},
    };
    for (const row& each : rows) {
        for (const std::int64_t tokens : {0, 1, 7}) {
            CAPTURE(each.name);
            CAPTURE(tokens);
            generation_bench bench;
            bench.answer_tokens(tokens);
            const auto actions = bench.fail(each.failure, each.culprit);
            CHECK(generation_bench::suspected(actions) == each.suspected);
            CHECK(generation_bench::opened(actions) == each.next_chain);
            CHECK(generation_bench::opening(actions)->delivered == bench.state.tokens);
            CHECK(generation_bench::opening(actions)->attempt.value == 2);
            CHECK(generation_bench::cancelled(actions)->keep_cache);
        }
    }
}

TEST_CASE("an unresponsive chain is detected by the timeout between tokens")
{
    generation_bench bench;
    bench.answer_tokens(2);

    SUBCASE("not before the timeout")
    {
        bench.now = bench.now + bench.state.limits.token_gap - milliseconds{1};
        CHECK(bench.on(clock_ticked{}).empty());
    }
    SUBCASE("the first hop is blamed, because it would have named any other hop before the timeout")
    {
        bench.now = bench.now + bench.state.limits.token_gap;
        const auto actions = bench.on(clock_ticked{});
        CHECK(generation_bench::suspected(actions) == "0a");
        CHECK(generation_bench::opened(actions) == "0b 1a 2a");
    }
    SUBCASE("after a second timeout without a named hop the whole chain is avoided")
    {
        generation_bench more("abc");
        more.answer_tokens(2);
        more.now = more.now + more.state.limits.token_gap;
        more.on(clock_ticked{});
        more.now = more.now + more.state.limits.first_token_gap;
        const auto actions = more.on(clock_ticked{});
        CHECK(generation_bench::suspected(actions) == "0b");
        CHECK(generation_bench::opened(actions) == "0c 1b 2b");
    }
}

TEST_CASE("each hop times out earlier than the one before it, and all earlier than the router")
{
    generation_bench bench;
    const auto actions = bench.on(generation_started{});
    milliseconds first = bench.state.limits.first_token_gap;
    milliseconds next = bench.state.limits.token_gap;
    for (const hop_plan& plan : generation_bench::opening(actions)->plans) {
        CHECK(plan.first_wait < first);
        CHECK(plan.next_wait < next);
        CHECK(plan.next_wait.count > 0);
        first = plan.first_wait;
        next = plan.next_wait;
    }
}

TEST_CASE("further failures during recovery are handled in the same way")
{
    generation_bench bench("abc");
    bench.answer_tokens(4);

    SUBCASE("two stages fail")
    {
        CHECK(generation_bench::opened(bench.fail(attempt_failure::reset, "1a")) == "0a 1b 2a");
        CHECK(generation_bench::opened(bench.fail(attempt_failure::reset, "2a")) == "0a 1b 2b");
    }
    SUBCASE("the replacement fails too")
    {
        CHECK(generation_bench::opened(bench.fail(attempt_failure::reset, "1a")) == "0a 1b 2a");
        CHECK(generation_bench::opened(bench.fail(attempt_failure::reset, "1b")) == "0a 1c 2a");
    }
    SUBCASE("a stage that failed long ago may be used again")
    {
        bench.fail(attempt_failure::reset, "1a");
        bench.token(4);
        bench.now = bench.now + bench.state.limits.exclusion;
        CHECK(generation_bench::opened(bench.fail(attempt_failure::reset, "1b")) == "0a 1a 2a");
    }
    SUBCASE("a stage that could not be reached may be used again sooner")
    {
        generation_bench pair;
        pair.answer_tokens(1);
        pair.fail(attempt_failure::unreachable, "1a");
        pair.token(1);
        pair.now = pair.now + pair.state.limits.unreachable_exclusion;
        CHECK(generation_bench::opened(pair.fail(attempt_failure::unreachable, "1b")) == "0a 1a 2a");
    }
    SUBCASE("a target that has joined since is used, one that has left is not")
    {
        bench.gone = {"1a", "1b"};
        CHECK(generation_bench::opened(bench.fail(attempt_failure::reset, "0a")) == "0b 1c 2a");
    }
    SUBCASE("an answer with tokens may use targets that other requests suspect, as the last resort")
    {
        bench.dead = {"1b"};
        bench.long_dead = {"1c"};
        CHECK(generation_bench::opened(bench.fail(attempt_failure::unreachable, "1a")) == "0a 1b 2a");
        CHECK(generation_bench::opened(bench.fail(attempt_failure::unreachable, "1b")) == "0a 1c 2a");
    }
    SUBCASE("a stage whose replicas each broke a stream is tried again, until none can be reached")
    {
        generation_bench pair;
        pair.answer_tokens(1);
        pair.fail(attempt_failure::reset, "1a");
        CHECK(generation_bench::opened(pair.fail(attempt_failure::reset, "1b")) == "0a 1a 2a");
        CHECK(generation_bench::opened(pair.fail(attempt_failure::unreachable, "1a")) == "0a 1b 2a");
        CHECK(generation_bench::refused(pair.fail(attempt_failure::unreachable, "1b")) != nullptr);
    }
    SUBCASE("a request without any token uses a target that failed once, but not one that failed repeatedly")
    {
        generation_bench fresh;
        fresh.dead = {"1a"};
        fresh.long_dead = {"1b"};
        CHECK(generation_bench::opened(fresh.on(generation_started{})) == "0a 1a 2a");
    }
}

namespace {

std::vector<generation_action> timed_token(generation_bench& bench, const std::vector<std::int64_t>& times)
{
    token_received token{
        bench.state.attempt, {static_cast<std::int64_t>(bench.state.tokens.size())}, "t ", {}};
    for (const std::int64_t time : times) {
        token.hop_times.push_back({time});
    }
    return bench.on(token);
}

std::string opened_after(generation_bench& bench, std::int64_t count, const std::vector<std::int64_t>& times)
{
    std::string opened;
    for (std::int64_t i = 0; i < count && opened.empty(); ++i) {
        opened = generation_bench::opened(timed_token(bench, times));
    }
    return opened;
}

} // namespace

TEST_CASE("an answer is moved once away from a hop that has become much slower than before")
{
    generation_bench bench;
    bench.on(generation_started{});
    CHECK(opened_after(bench, 10, {10, 20, 10}).empty());

    SUBCASE("slow for several tokens in a row")
    {
        CHECK(opened_after(bench, bench.state.limits.slow_tokens - 1, {10, 150, 10}).empty());
        CHECK(opened_after(bench, 1, {10, 150, 10}) == "0a 1b 2a");
        CHECK(bench.state.tokens.size() == 10 + static_cast<std::size_t>(bench.state.limits.slow_tokens));
    }
    SUBCASE("a single slow token has no effect")
    {
        for (int i = 0; i < 10; ++i) {
            CHECK(opened_after(bench, 1, {10, 500, 10}).empty());
            CHECK(opened_after(bench, 1, {10, 20, 10}).empty());
        }
    }
    SUBCASE("a hop that is slower, but below the floor, is not left")
    {
        CHECK(opened_after(bench, 20, {60, 60, 60}).empty());
    }
    SUBCASE("a hop that was never faster is not left")
    {
        generation_bench steady;
        steady.on(generation_started{});
        CHECK(opened_after(steady, 20, {10, 150, 10}).empty());
    }
    SUBCASE("the next slow hop is not left, so that load cannot move answers again and again")
    {
        CHECK(opened_after(bench, 10, {10, 150, 10}) == "0a 1b 2a");
        CHECK(opened_after(bench, 10, {10, 20, 10}).empty());
        CHECK(opened_after(bench, 20, {10, 20, 150}).empty());
    }
    SUBCASE("a list of times that does not match the hops is ignored")
    {
        CHECK(opened_after(bench, 20, {10, 150}).empty());
    }
}
