#include "route/local_path.hpp"

#include "support/mixed_engines.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

// Slow engines in data centre "n", fast ones in "p"; each data centre holds the whole model.
std::vector<registered_target> slow_local_fast_remote()
{
    return {engine_with("n1", "small", "n", 0, 40), engine_with("n2", "small", "n", 40, 80),
            engine_with("p1", "large", "p", 0, 40), engine_with("p2", "large", "p", 40, 80)};
}

std::set<std::string> data_centres_of(const std::vector<path_part>& path)
{
    std::set<std::string> found;
    for (const path_part& part : path) {
        found.insert(part.target->data_centre.value);
    }
    return found;
}

} // namespace

TEST_CASE("a path stays in its data centre while it is fast enough, even if another path is faster")
{
    const engine_profile profile = mixed_profile();
    const std::vector<registered_target> engines = slow_local_fast_remote();
    const auto candidates = candidates_of(engines, 0);
    const path_query query = query_from(profile, "n");
    const std::vector<path_part> path = choose_layer_path(query, candidates, {200, 0.8});
    CHECK(is_valid_path(path, 0, profile.layers));
    CHECK(data_centres_of(path) == std::set<std::string>{"n"});
    CHECK(data_centres_of(find_layer_path(query, candidates)) == std::set<std::string>{"p"});
}

TEST_CASE("a path leaves its data centre when the time between events would be too long there")
{
    const engine_profile profile = mixed_profile();
    const std::vector<registered_target> engines = slow_local_fast_remote();
    const auto busy = candidates_of(engines, 150);
    const double gap =
        event_gap_ms(profile, find_layer_path(query_from(profile, "n"), {busy[0], busy[1]}), busy);
    CHECK(gap > 100);
    CHECK(data_centres_of(choose_layer_path(query_from(profile, "n"), busy, {100, 0.8})) ==
          std::set<std::string>{"p"});
}

TEST_CASE("a path leaves its data centre when an engine there is slow or lacks KV cache or entry slots")
{
    const engine_profile profile = mixed_profile();
    const std::vector<registered_target> engines = slow_local_fast_remote();
    for (const char* trouble : {"slow", "memory", "places"}) {
        CAPTURE(trouble);
        auto candidates = candidates_of(engines, 10);
        candidates[0].slowness = trouble == std::string("slow") ? 8 : 1;
        candidates[0].kv_cache_used = trouble == std::string("memory") ? 0.95 : 0;
        candidates[0].entry_slots_used = trouble == std::string("places") ? 0.95 : 0;
        const auto path = choose_layer_path(query_from(profile, "n"), candidates, {100, 0.8});
        CHECK(data_centres_of(path) == std::set<std::string>{"p"});
    }
}

TEST_CASE("a path after a previous engine stays in that engine's data centre")
{
    const engine_profile profile = mixed_profile();
    const std::vector<registered_target> engines = slow_local_fast_remote();
    path_query query = query_from(profile, "p");
    query.from_layer = 40;
    query.previous = &engines[0];
    const auto path = choose_layer_path(query, candidates_of(engines, 0), {200, 0.8});
    CHECK(data_centres_of(path) == std::set<std::string>{"n"});
}

TEST_CASE("a path that can't be local moves to another data centre as a whole")
{
    // Data centre "n" lacks an engine for the last layers. "p" holds all layers, but its first engine is
    // slower.
    const engine_profile profile = mixed_profile();
    const std::vector<registered_target> engines{engine_with("n1", "large", "n", 0, 40),
                                                 engine_with("p1", "small", "p", 0, 40),
                                                 engine_with("p2", "large", "p", 40, 80)};
    const auto path = choose_layer_path(query_from(profile, "n"), candidates_of(engines, 0), {100, 0.8});
    CHECK(is_valid_path(path, 0, profile.layers));
    CHECK(data_centres_of(path) == std::set<std::string>{"p"});
}

TEST_CASE("a path for some of the middle layers covers only these")
{
    const engine_profile profile = mixed_profile();
    const std::vector<registered_target> engines = slow_local_fast_remote();
    path_query query = query_from(profile, "n");
    query.from_layer = 10;
    query.to_layer = 30;
    query.previous = &engines[2];
    const auto path = find_layer_path(query, candidates_of(engines, 0));
    REQUIRE(path.size() == 1);
    CHECK(path.front().layers == held_layers{10, 30});
}

// Each of three data centres gets as many streams as its engines can carry. With the fastest paths, some
// prompts would occupy the link between data centres without need.
TEST_CASE("local paths keep streams off the link between data centres, which the fastest paths would use")
{
    const engine_profile profile = mixed_profile();
    std::vector<registered_target> engines;
    for (const char* centre : {"n", "p", "q"}) {
        const char* kind = centre == std::string("p") ? "large" : "middle";
        for (std::int64_t part = 0; part < 4; ++part) {
            engines.push_back(engine_with(std::string(centre) + std::to_string(part), kind, centre, part * 20,
                                          part * 20 + 20));
        }
    }
    const auto crossings = [&](bool stays) {
        std::vector<path_candidate> candidates = candidates_of(engines, 0);
        int crossed = 0;
        for (int stream = 0; stream < 90; ++stream) {
            const std::string entry =
                std::vector<std::string>{"n", "p", "q"}[static_cast<std::size_t>(stream % 3)];
            const path_query query = query_from(profile, entry);
            const auto path =
                stays ? choose_layer_path(query, candidates, {100, 0.8}) : find_layer_path(query, candidates);
            REQUIRE(is_valid_path(path, 0, profile.layers));
            crossed += data_centres_of(path) == std::set<std::string>{entry} ? 0 : 1;
            for (const path_part& part : path) {
                std::ranges::find(candidates, part.target, &path_candidate::target)->running += 1;
            }
        }
        return crossed;
    };
    const int staying = crossings(true);
    const int fastest = crossings(false);
    MESSAGE("streams outside their data centre: ", staying, " against ", fastest);
    CHECK(staying == 0);
    CHECK(fastest > 0);
}
