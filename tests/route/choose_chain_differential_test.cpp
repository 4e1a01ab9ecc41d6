#include "route/choose_chain.hpp"
#include "route/throughput_bound.hpp"
#include "support/pipeline_simulation.hpp"

#include <array>
#include <doctest/doctest.h>
#include <optional>
#include <random>

namespace dandelionstep {
namespace {

constexpr std::int64_t layer_total = 4;
constexpr std::array data_centre_names{"a", "b", "c"};
// A token's first hop starts in the daemon's data centre.
const data_centre_id daemon_data_centre{"a"};

// At most one engine for each layer range in a data centre, so that the search samples every engine.
declarations random_declarations(std::mt19937& random)
{
    declarations declared;
    model assistant;
    assistant.id = model_id("assistant");
    assistant.version = "1";
    assistant.layer_count = layer_index{layer_total};
    declared.models.emplace(assistant.id, assistant);
    const auto count = std::uniform_int_distribution<int>(3, 14)(random);
    std::map<std::tuple<std::int64_t, std::int64_t, std::string>, int> in_group;
    for (int i = 0; i < count; ++i) {
        const auto begin = std::uniform_int_distribution<std::int64_t>(0, layer_total - 1)(random);
        const auto end = std::uniform_int_distribution<std::int64_t>(begin + 1, layer_total)(random);
        const std::string where = data_centre_names[random() % data_centre_names.size()];
        if (++in_group[{begin, end, where}] > 1) {
            continue;
        }
        target engine;
        engine.id = target_id("engine" + std::to_string(i));
        engine.data_centre = data_centre_id(where);
        engine.engine = engine_spec{};
        engine.engine->variant = {assistant.id, "1", {}};
        engine.engine->layers = {layer_index{begin}, layer_index{end}};
        engine.engine->step_ms = std::uniform_real_distribution<double>(2, 20)(random);
        engine.engine->tokens_per_second = std::uniform_real_distribution<double>(100, 4000)(random);
        declared.targets.emplace(engine.id, engine);
    }
    for (const char* from : data_centre_names) {
        for (const char* to : data_centre_names) {
            if (std::string(from) < to) {
                const double ms = std::uniform_real_distribution<double>(0.1, 10)(random);
                declared.links.push_back({data_centre_id(from), data_centre_id(to), ms, 1000});
            }
        }
    }
    return declared;
}

double link_ms(const declarations& declared, const data_centre_id& from, const data_centre_id& to)
{
    for (const link& each : declared.links) {
        if ((each.from == from && each.to == to) || (each.from == to && each.to == from)) {
            return 2 * each.latency_ms + 16'384.0 / (1000 * 1000);
        }
    }
    return 0.1;
}

struct exhaustive_search {
    const declarations& declared;
    const health_map& health;
    double idle_token_ms = 0;
    double best = 1e18;

    void extend(layer_index boundary, const data_centre_id& at, double cost)
    {
        if (boundary == layer_index{layer_total}) {
            this->best = std::min(this->best, cost);
            return;
        }
        for (const auto& [id, engine] : this->declared.targets) {
            if (engine.engine->layers.begin == boundary && is_eligible(this->health, id, time_point{0})) {
                this->extend(engine.engine->layers.end, engine.data_centre,
                             cost + link_ms(this->declared, at, engine.data_centre) +
                                 stage_token_ms(*engine.engine, estimated_load(this->health, id),
                                                this->idle_token_ms));
            }
        }
    }
};

double cost_of(const chain& chosen, const declarations& declared, const health_map& health, double idle)
{
    double cost = 0;
    data_centre_id at = daemon_data_centre;
    for (const hop& stage : chosen.hops()) {
        cost += link_ms(declared, at, stage.data_centre) +
                stage_token_ms(*declared.targets.at(stage.target).engine,
                               estimated_load(health, stage.target), idle);
        at = stage.data_centre;
    }
    return cost;
}

} // namespace

TEST_CASE("the chosen chain costs as little as the best one of an exhaustive search")
{
    std::mt19937 random(7);
    int found = 0;
    for (int round = 0; round < 400; ++round) {
        const declarations declared = random_declarations(random);
        health_map health;
        for (const auto& [id, each] : declared.targets) {
            health[id].reported_load = std::uniform_int_distribution<std::int64_t>(0, 200)(random);
            health[id].ejected_until = random() % 8 == 0 ? never : time_point{0};
        }
        const route_index index = build_route_index(declared);
        const double idle = index.models.at(model_id("assistant")).idle_token_ms;
        exhaustive_search search{declared, health, idle};
        search.extend(layer_index{0}, daemon_data_centre, 0);
        chain_query query;
        query.model = model_id("assistant");
        query.from = daemon_data_centre;
        query.seed = random();
        const auto chosen = choose_chain(index, health, query, time_point{0});
        CAPTURE(round);
        CHECK(chosen.ok() == (search.best < 1e18));
        if (chosen.ok()) {
            ++found;
            CHECK(cost_of(*chosen, declared, health, idle) == doctest::Approx(search.best));
        }
    }
    CHECK(found > 100);
}

TEST_CASE("in a simulation the policy least_cost has more goodput than every baseline policy")
{
    testing::simulation_plan plan;
    plan.declared = testing::mixed_pipeline({"erie-a"}, 4);
    plan.daemons = 9;
    const double bound = find_throughput_bound(plan.declared, model_id("assistant")).tokens_per_second;
    plan.offered_tokens_per_second = bound;
    plan.duration_ms = 10'000;
    plan.window_ms = 4'000;
    std::map<chain_policy, double> ratio;
    for (const auto& [name, policy] : chain_policy_names) {
        plan.policy = policy;
        const testing::simulation_result result = testing::simulate(plan);
        ratio[policy] = result.good_tokens_per_second / plan.offered_tokens_per_second;
        MESSAGE(std::string(name) << " ratio=" << ratio[policy] << " p95_token_gap_ms="
                                  << result.p95_token_gap_ms << " requests=" << result.requests);
    }
    // Service level: 0.95 of the bound while daemons see loads with a delay of one second.
    CHECK(ratio[chain_policy::least_cost] >= 0.95);
    for (const chain_policy naive :
         {chain_policy::random, chain_policy::round_robin, chain_policy::least_reported}) {
        CHECK(ratio[naive] < ratio[chain_policy::least_cost]);
    }
}

} // namespace dandelionstep
