#include "target/layer_placement.hpp"

#include "route/layer_path.hpp"
#include "support/mixed_engines.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

int holders_of(std::int64_t layer, const std::vector<registered_target>& engines,
               const std::string& data_centre)
{
    return static_cast<int>(std::ranges::count_if(engines, [&](const registered_target& engine) {
        return engine.data_centre.value == data_centre && engine.layers.begin <= layer &&
               layer < engine.layers.end;
    }));
}

int least_holders(const std::vector<registered_target>& engines, const std::string& data_centre)
{
    int least = INT32_MAX;
    for (std::int64_t layer = 0; layer < mixed_profile().layers; ++layer) {
        least = std::min(least, holders_of(layer, engines, data_centre));
    }
    return least;
}

// KV cache in tokens on the engines that hold a layer; the minimum over all layers.
double least_cache_tokens(const engine_profile& profile, const std::vector<registered_target>& engines)
{
    double least = 1e18;
    for (std::int64_t layer = 0; layer < profile.layers; ++layer) {
        double cache_tokens = 0;
        for (const registered_target& engine : engines) {
            if (engine.layers.begin <= layer && layer < engine.layers.end) {
                cache_tokens += kv_cache_tokens(profile, profile.kinds.at(engine.kind), engine.layers.size());
            }
        }
        least = std::min(least, cache_tokens);
    }
    return least;
}

void check_memory(const engine_profile& profile, const std::vector<registered_target>& engines)
{
    for (const registered_target& engine : engines) {
        CAPTURE(engine.id.value);
        CHECK(static_cast<double>(engine.layers.size()) * profile.layer_mb <=
              profile.kinds.at(engine.kind).memory_mb);
        CHECK(engine.layers.begin >= 0);
        CHECK(engine.layers.end <= profile.layers);
    }
}

} // namespace

TEST_CASE(
    "each data centre that is large enough holds the whole model, so that it can serve when it is cut off")
{
    const engine_profile profile = mixed_profile();
    std::vector<registered_target> engines = mixed_engines("n");
    const std::vector<registered_target> others = mixed_engines("p");
    engines.insert(engines.end(), others.begin(), others.end());
    const std::vector<registered_target> result = placed(engines, plan_layers(profile, engines));
    CHECK(least_holders(result, "n") >= 1);
    CHECK(least_holders(result, "p") >= 1);
    check_memory(profile, result);
}

TEST_CASE("data centres that are too small to hold the model alone hold it together")
{
    const engine_profile profile = mixed_profile();
    const std::vector<registered_target> engines{
        engine_of("n1", "large", "n"),  engine_of("n2", "middle", "n"), engine_of("p1", "large", "p"),
        engine_of("p2", "middle", "p"), engine_of("q1", "middle", "q"), engine_of("q2", "middle", "q")};
    const std::vector<registered_target> result = placed(engines, plan_layers(profile, engines));
    std::vector<registered_target> together = result;
    for (registered_target& engine : together) {
        engine.data_centre = data_centre_id("all");
    }
    CHECK(least_holders(together, "all") >= 1);
    check_memory(profile, result);
}

TEST_CASE("once a plan is carried out, the next plan is empty")
{
    const engine_profile profile = mixed_profile();
    const std::vector<registered_target> engines = mixed_engines("n");
    const std::vector<registered_target> result = placed(engines, plan_layers(profile, engines));
    CHECK(plan_layers(profile, result).empty());
}

TEST_CASE("engines keep a much larger KV cache than engines that hold as many layers as fit")
{
    const engine_profile profile = mixed_profile();
    const std::vector<registered_target> engines = mixed_engines("n");
    const double planned = least_cache_tokens(profile, placed(engines, plan_layers(profile, engines)));
    const double naive = least_cache_tokens(profile, filled_to_the_brim(profile, engines));
    MESSAGE("tokens in the KV cache: planned ", planned, ", with as many layers as fit ", naive);
    CHECK(planned > 2 * naive);
}

TEST_CASE("an engine that restarts without layers gets layers again, and every layer is covered")
{
    const engine_profile profile = mixed_profile();
    const std::vector<registered_target> engines = mixed_engines("n");
    std::vector<registered_target> result = placed(engines, plan_layers(profile, engines));
    for (registered_target& engine : result) {
        const held_layers lost = engine.layers;
        engine.layers = {};
        engine.started = {2};
        const layer_placement repair = plan_layers(profile, result);
        CAPTURE(engine.id.value);
        REQUIRE(repair.contains(engine.id));
        CHECK(least_holders(placed(result, repair), "n") >= 1);
        engine.layers = lost;
    }
}

TEST_CASE("whichever engine is lost, the others take over its layers")
{
    const engine_profile profile = mixed_profile();
    const std::vector<registered_target> engines = mixed_engines("n");
    const std::vector<registered_target> result = placed(engines, plan_layers(profile, engines));
    for (std::size_t lost = 0; lost < result.size(); ++lost) {
        std::vector<registered_target> remaining = result;
        remaining.erase(remaining.begin() + static_cast<std::ptrdiff_t>(lost));
        CAPTURE(result[lost].id.value);
        const std::vector<registered_target> repaired = placed(remaining, plan_layers(profile, remaining));
        CHECK(least_holders(repaired, "n") >= 1);
        check_memory(profile, repaired);
    }
}

TEST_CASE("a repair takes no layer away from the only engine that holds it")
{
    const engine_profile profile = mixed_profile();
    const std::vector<registered_target> engines = mixed_engines("n");
    std::vector<registered_target> remaining = placed(engines, plan_layers(profile, engines));
    remaining.erase(remaining.begin());
    const layer_placement repair = plan_layers(profile, remaining);
    const std::vector<registered_target> repaired = placed(remaining, repair);
    for (std::int64_t layer = 0; layer < profile.layers; ++layer) {
        CAPTURE(layer);
        const bool was_held = holders_of(layer, remaining, "n") > 0;
        CHECK((!was_held || holders_of(layer, repaired, "n") > 0));
    }
}

TEST_CASE("a leaving engine gets no layers, and other engines take over those that it holds")
{
    const engine_profile profile = mixed_profile();
    std::vector<registered_target> engines =
        placed(mixed_engines("n"), plan_layers(profile, mixed_engines("n")));
    engines[0].leaving = true;
    const layer_placement plan = plan_layers(profile, engines);
    CHECK_FALSE(plan.contains(engines[0].id));
    std::vector<registered_target> staying = placed(engines, plan);
    staying.erase(staying.begin());
    CHECK(least_holders(staying, "n") >= 1);
}

TEST_CASE("the plan is empty for engines of unknown kinds and for models without layers")
{
    engine_profile profile = mixed_profile();
    CHECK(plan_layers(profile, {engine_of("x", "unheard-of", "n")}).empty());
    profile.layers = 0;
    CHECK(plan_layers(profile, mixed_engines("n")).empty());
}

TEST_CASE("lost layers go to engines that keep a large KV cache, as long as enough engines are redundant")
{
    const engine_profile profile = mixed_profile();
    std::vector<registered_target> engines = mixed_engines("n");
    engines = placed(engines, plan_layers(profile, engines));
    // A large engine that holds the last layers is lost for good, and so are the engines that hold only
    // layers of the gap, except for small ones.
    const auto lost = std::ranges::find_if(engines, [&](const registered_target& engine) {
        return engine.kind == "large" && engine.layers.end == profile.layers;
    });
    REQUIRE(lost != engines.end());
    const held_layers gap = lost->layers;
    engines.erase(lost);
    std::erase_if(engines, [&](const registered_target& engine) {
        return engine.kind != "small" && engine.layers.begin >= gap.begin && engine.layers.end <= gap.end;
    });
    const std::vector<registered_target> result = placed(engines, plan_layers(profile, engines));
    CHECK(least_holders(result, "n") >= 1);
    for (const registered_target& engine : result) {
        CAPTURE(engine.id.value);
        const double cache_tokens =
            kv_cache_tokens(profile, profile.kinds.at(engine.kind), engine.layers.size());
        CHECK(cache_tokens >= 100'000);
    }
}

TEST_CASE("an engine that reports layers outside of the model is ignored by the plan")
{
    const engine_profile profile = mixed_profile();
    const std::vector<registered_target> engines = mixed_engines("n");
    const layer_placement expected = plan_layers(profile, engines);
    const std::vector<held_layers> outside = {
        {0, profile.layers + 1}, {-1, 4},        {profile.layers, profile.layers + 1},
        {0, INT64_MAX},          {INT64_MIN, 2}, {1'000'000'000'000, 1'000'000'000'001},
        {INT64_MAX, INT64_MIN},  {7, -7},
    };
    for (const held_layers& layers : outside) {
        CAPTURE(layers.begin);
        CAPTURE(layers.end);
        std::vector<registered_target> with_invalid = engines;
        with_invalid.push_back(engine_with("odd", "large", "n", layers.begin, layers.end));
        CHECK(plan_layers(profile, with_invalid) == expected);
    }
}
