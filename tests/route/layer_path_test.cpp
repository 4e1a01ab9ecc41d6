#include "route/layer_path.hpp"

#include "support/mixed_engines.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

std::vector<std::string> ids_of(const std::vector<path_part>& path)
{
    std::vector<std::string> ids;
    ids.reserve(path.size());
    for (const path_part& part : path) {
        ids.push_back(part.target->id.value);
    }
    return ids;
}

} // namespace

TEST_CASE("a path covers every layer once and in order")
{
    const engine_profile profile = mixed_profile();
    const std::vector<registered_target> engines{engine_with("a", "small", "n", 0, 30),
                                                 engine_with("b", "middle", "n", 20, 60),
                                                 engine_with("c", "large", "n", 50, 80)};
    const std::vector<path_part> path = find_layer_path(query_from(profile, "n"), candidates_of(engines));
    CHECK(is_valid_path(path, 0, profile.layers));
    CHECK(ids_of(path) == std::vector<std::string>{"a", "b", "c"});
    // Each layer runs on the faster of the engines that hold it.
    CHECK(path[0].layers == held_layers{0, 20});
    CHECK(path[2].layers == held_layers{50, 80});
}

TEST_CASE("there is no path when a layer is held by no engine")
{
    const engine_profile profile = mixed_profile();
    const std::vector<registered_target> engines{engine_with("a", "large", "n", 0, 40),
                                                 engine_with("b", "large", "n", 41, 80)};
    CHECK(find_layer_path(query_from(profile, "n"), candidates_of(engines)).empty());
    CHECK(find_layer_path(query_from(profile, "n"), {}).empty());
}

TEST_CASE("a path stays in the data centre where the request arrived if that is not much slower")
{
    const engine_profile profile = mixed_profile();
    const std::vector<registered_target> engines{
        engine_with("n1", "middle", "n", 0, 40), engine_with("n2", "middle", "n", 40, 80),
        engine_with("p1", "middle", "p", 0, 40), engine_with("p2", "middle", "p", 40, 80)};
    const auto candidates = candidates_of(engines);
    CHECK(ids_of(find_layer_path(query_from(profile, "n"), candidates)) ==
          std::vector<std::string>{"n1", "n2"});
    CHECK(ids_of(find_layer_path(query_from(profile, "p"), candidates)) ==
          std::vector<std::string>{"p1", "p2"});
}

TEST_CASE("engines of another data centre run the layers that the local one lacks")
{
    const engine_profile profile = mixed_profile();
    const std::vector<registered_target> engines{engine_with("n1", "middle", "n", 0, 40),
                                                 engine_with("p1", "middle", "p", 0, 40),
                                                 engine_with("p2", "middle", "p", 40, 80)};
    const std::vector<path_part> path = find_layer_path(query_from(profile, "n"), candidates_of(engines));
    CHECK(is_valid_path(path, 0, profile.layers));
    CHECK(path.back().target->id.value == "p2");
}

TEST_CASE("a path never uses an engine twice, even if a faster one holds layers in between")
{
    const engine_profile profile = mixed_profile();
    const std::vector<registered_target> engines{engine_with("slow", "small", "n", 0, 80),
                                                 engine_with("fast", "large", "n", 20, 60)};
    const std::vector<path_part> path = find_layer_path(query_from(profile, "n"), candidates_of(engines));
    CHECK(is_valid_path(path, 0, profile.layers));
    CHECK(ids_of(path) == std::vector<std::string>{"slow"});
}

TEST_CASE("a slower engine is preferred to one whose KV cache or entry slots are full")
{
    const engine_profile profile = mixed_profile();
    const std::vector<registered_target> engines{engine_with("fast", "large", "n", 0, 80),
                                                 engine_with("slow", "middle", "n", 0, 80)};
    std::vector<path_candidate> candidates = candidates_of(engines);
    CHECK(ids_of(find_layer_path(query_from(profile, "n"), candidates)) == std::vector<std::string>{"fast"});
    candidates[0].kv_cache_used = 1;
    CHECK(ids_of(find_layer_path(query_from(profile, "n"), candidates)) == std::vector<std::string>{"slow"});
    candidates[0].kv_cache_used = 0;
    candidates[0].entry_slots_used = 1;
    CHECK(ids_of(find_layer_path(query_from(profile, "n"), candidates)) == std::vector<std::string>{"slow"});
}

TEST_CASE("a slower engine is preferred to one that spends most of its time on prefill")
{
    const engine_profile profile = mixed_profile();
    const std::vector<registered_target> engines{engine_with("fast", "large", "n", 0, 80),
                                                 engine_with("slow", "middle", "n", 0, 80)};
    std::vector<path_candidate> candidates = candidates_of(engines);
    candidates[0].prefill_load = 0.3;
    CHECK(ids_of(find_layer_path(query_from(profile, "n"), candidates)) == std::vector<std::string>{"fast"});
    candidates[0].prefill_load = 0.8;
    CHECK(ids_of(find_layer_path(query_from(profile, "n"), candidates)) == std::vector<std::string>{"slow"});
    candidates[1].prefill_load = 3;
    CHECK(ids_of(find_layer_path(query_from(profile, "n"), candidates)) == std::vector<std::string>{"fast"});
}

TEST_CASE("no path begins at an engine in backoff, but paths that begin elsewhere may use it")
{
    const engine_profile profile = mixed_profile();
    const std::vector<registered_target> engines{engine_with("rests", "large", "n", 0, 60),
                                                 engine_with("slow", "small", "n", 0, 20),
                                                 engine_with("last", "large", "n", 60, 80)};
    auto candidates = candidates_of(engines);
    CHECK(ids_of(find_layer_path(query_from(profile, "n"), candidates)).front() == "rests");
    candidates[0].may_enter = false;
    CHECK(ids_of(find_layer_path(query_from(profile, "n"), candidates)) ==
          std::vector<std::string>{"slow", "rests", "last"});
    candidates[1].may_enter = false;
    CHECK(find_layer_path(query_from(profile, "n"), candidates).empty());
}

TEST_CASE("the time of a prefill depends on the tokens, the layers and the kind of accelerator")
{
    const engine_profile profile = mixed_profile();
    // 1,050 tokens at 105 per millisecond, with a prefill factor of 2.7, over a quarter of the layers.
    CHECK(prefill_time_ms(profile, profile.kinds.at("middle"), 20, 1'050) == doctest::Approx(6.75));
    CHECK(step_time_factor({nullptr, 0, 0, 0, 3, 0.25}) == doctest::Approx(4));
    CHECK(step_time_factor({nullptr, 0, 0, 0, 1, 7}) == doctest::Approx(20));
}

TEST_CASE("a path after a previous engine begins at the given layer, without that engine as a candidate")
{
    const engine_profile profile = mixed_profile();
    const std::vector<registered_target> engines{engine_with("first", "small", "n", 0, 20),
                                                 engine_with("rest", "middle", "n", 10, 80)};
    path_query query = query_from(profile, "n");
    query.from_layer = 20;
    query.previous = &engines[0];
    const std::vector<path_part> path = find_layer_path(query, {{&engines[1], 0, 0, 0, 1}});
    CHECK(is_valid_path(path, 20, profile.layers));
}

TEST_CASE("a path with a gap, an overlap or layers that an engine does not hold is not valid")
{
    const registered_target a = engine_with("a", "large", "n", 0, 40);
    const registered_target b = engine_with("b", "large", "n", 30, 80);
    CHECK(is_valid_path({{&a, {0, 40}}, {&b, {40, 80}}}, 0, 80));
    CHECK(is_valid_path({{&a, {0, 35}}, {&b, {35, 80}}}, 0, 80));
    CHECK_FALSE(is_valid_path({{&a, {0, 39}}, {&b, {40, 80}}}, 0, 80));
    CHECK_FALSE(is_valid_path({{&a, {0, 40}}, {&b, {39, 80}}}, 0, 80));
    CHECK_FALSE(is_valid_path({{&a, {0, 41}}, {&b, {41, 80}}}, 0, 80));
    CHECK_FALSE(is_valid_path({{&a, {0, 40}}}, 0, 80));
    CHECK_FALSE(is_valid_path({}, 0, 80));
}

TEST_CASE("the KV cache has the memory that the layers leave free")
{
    const engine_profile profile = mixed_profile();
    const accelerator_kind& small = profile.kinds.at("small");
    // (21,600 - 6 x 1,750) MB, divided by 6 / 80 of 0.918 MB per token.
    CHECK(kv_cache_tokens(profile, small, 6) == doctest::Approx(161'220).epsilon(0.001));
    CHECK(kv_cache_tokens(profile, small, 12) == doctest::Approx(4'357).epsilon(0.001));
    CHECK(kv_cache_tokens(profile, small, 0) == 0);
    CHECK(kv_cache_tokens(profile, small, 13) == 0);
}
