#include "support/generation_bench.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

const model_variant assistant{model_id("assistant"), "1", {}};

target engine_of_variant(model_variant variant, std::int64_t begin, std::int64_t end)
{
    target made = engine_of("other", begin, end);
    made.engine->variant = std::move(variant);
    return made;
}

target service_replica()
{
    target made;
    made.id = target_id("desk");
    made.service = service_id("order-desk");
    return made;
}

} // namespace

TEST_CASE(
    "a chain can only be built from engines that cover each layer of one variant exactly once, in order")
{
    struct row {
        std::string name;
        std::vector<target> stages;
        bool valid;
    };
    const std::vector<row> rows{
        {"one engine with all layers", {engine_of("a", 0, 12)}, true},
        {"two engines with adjacent layers", {engine_of("a", 0, 5), engine_of("b", 5, 12)}, true},
        {"one engine with only the first layer", {engine_of("a", 0, 1), engine_of("b", 1, 12)}, true},
        {"no engines", {}, false},
        {"a gap", {engine_of("a", 0, 4), engine_of("b", 5, 12)}, false},
        {"an overlap", {engine_of("a", 0, 6), engine_of("b", 5, 12)}, false},
        {"the first layer is missing", {engine_of("a", 1, 12)}, false},
        {"the last layer is missing", {engine_of("a", 0, 11)}, false},
        {"one layer too many", {engine_of("a", 0, 13)}, false},
        {"swapped stages", {engine_of("b", 5, 12), engine_of("a", 0, 5)}, false},
        {"the same stage twice", {engine_of("a", 0, 5), engine_of("b", 5, 12), engine_of("b", 5, 12)}, false},
        {"an empty stage", {engine_of("a", 0, 5), engine_of("c", 5, 5), engine_of("b", 5, 12)}, false},
        {"a range that runs backwards", {engine_of("a", 0, 5), engine_of("c", 5, 3)}, false},
        {"another model",
         {engine_of("a", 0, 5), engine_of_variant({model_id("other"), "1", {}}, 5, 12)},
         false},
        {"another version",
         {engine_of("a", 0, 5), engine_of_variant({model_id("assistant"), "2", {}}, 5, 12)},
         false},
        {"other adapters",
         {engine_of("a", 0, 5), engine_of_variant({model_id("assistant"), "1", {"labels"}}, 5, 12)},
         false},
        {"a service's replica", {engine_of("a", 0, 12), service_replica()}, false},
    };
    for (const row& each : rows) {
        CAPTURE(each.name);
        CHECK(chain::make(assistant, {12}, each.stages).ok() == each.valid);
    }
}

TEST_CASE("a token is accepted only from the awaited attempt and at the next index")
{
    generation_bench bench;
    bench.answer_tokens(3);

    SUBCASE("an earlier attempt's token is dropped")
    {
        bench.fail(attempt_failure::reset, "1a");
        CHECK(bench.on(token_received{{1}, {3}, "late "}).empty());
        CHECK(bench.state.tokens.size() == 3);
        CHECK(bench.state.dropped_answers == 1);
    }
    SUBCASE("an earlier attempt's end is dropped")
    {
        bench.fail(attempt_failure::reset, "1a");
        CHECK(bench.on(stream_ended{{1}, {3}}).empty());
        CHECK_FALSE(bench.state.finished);
    }
    SUBCASE("a token of an attempt that was not opened yet is dropped")
    {
        CHECK(bench.on(token_received{{2}, {3}, "early "}).empty());
    }
    SUBCASE("a duplicate token is dropped and the attempt continues")
    {
        CHECK(bench.token(2).empty());
        CHECK(bench.state.attempt.value == 1);
        CHECK(bench.token(3).size() == 1);
    }
    SUBCASE("a skipped token ends the attempt, and the next attempt continues at the missing index")
    {
        const auto actions = bench.token(4);
        REQUIRE(generation_bench::opening(actions) != nullptr);
        CHECK(generation_bench::opening(actions)->delivered.size() == 3);
    }
    SUBCASE("a negative index ends the attempt")
    {
        CHECK(generation_bench::opening(bench.token(-1)) != nullptr);
    }
}

TEST_CASE("a hop prefills only positions that are missing from its KV cache or from that of a later hop")
{
    generation_bench bench("abc");
    bench.answer_tokens(5);

    struct row {
        const char* broken;
        std::vector<std::int64_t> prefill_from;
    };
    const std::vector<row> rows{{"0a", {0, 5, 5}}, {"1a", {0, 0, 5}}, {"2a", {0, 0, 0}}};
    for (const row& each : rows) {
        CAPTURE(each.broken);
        generation_bench copy = bench;
        const auto actions = copy.fail(attempt_failure::reset, each.broken);
        REQUIRE(generation_bench::opening(actions) != nullptr);
        std::vector<std::int64_t> planned;
        for (const hop_plan& plan : generation_bench::opening(actions)->plans) {
            planned.push_back(plan.prefill_from.value);
        }
        CHECK(planned == each.prefill_from);
    }
    SUBCASE("no KV cache is assumed before a token was accepted")
    {
        generation_bench fresh;
        fresh.on(generation_started{});
        const auto actions = fresh.fail(attempt_failure::reset, "0a");
        for (const hop_plan& plan : generation_bench::opening(actions)->plans) {
            CHECK(plan.prefill_from.value == 0);
        }
    }
    SUBCASE("a hop that reports a lost KV cache is not suspected, and everything is prefilled again")
    {
        bench.fail(attempt_failure::reset, "1a");
        const auto actions = bench.fail(attempt_failure::cache_missing, "2a");
        CHECK(generation_bench::suspected(actions).empty());
        CHECK(generation_bench::opened(actions) == "0a 1b 2a");
        for (const hop_plan& plan : generation_bench::opening(actions)->plans) {
            CHECK(plan.prefill_from.value == 0);
        }
    }
}

TEST_CASE("an answer that one version of the model began is not continued by another version")
{
    generation_bench bench;
    bench.answer_tokens(2);
    bench.version = "2";
    const auto actions = bench.fail(attempt_failure::reset, "1a");
    CHECK(generation_bench::opening(actions) == nullptr);
    REQUIRE(generation_bench::refused(actions) != nullptr);
    CHECK(generation_bench::refused(actions)->result == outcome::unknown);
}

TEST_CASE("an answer without any token may start again with another version")
{
    generation_bench bench;
    bench.answer_tokens(0);
    bench.version = "2";
    CHECK(generation_bench::opened(bench.fail(attempt_failure::reset, "1a")) == "0a 1b 2a");
}
