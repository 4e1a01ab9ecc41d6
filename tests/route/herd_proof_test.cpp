#include "common/hash.hpp"
#include "route/choose_chain.hpp"
#include "route/throughput_bound.hpp"
#include "support/pipeline_simulation.hpp"

#include <algorithm>
#include <doctest/doctest.h>

namespace dandelionstep {
namespace {

constexpr std::size_t daemon_count = 9;

// Every daemon has the same stale reports: one engine of each stage seems idle, the others busy.
health_map stale_report(const declarations& declared)
{
    health_map health;
    for (const auto& [id, engine] : declared.targets) {
        health[id].reported_load = id.value.ends_with("-0") ? 0 : 40;
    }
    return health;
}

// Number of times that the daemons choose each engine before any new report arrives.
std::map<target_id, int> count_choices(const declarations& declared, chain_policy policy, int requests_each)
{
    const route_index index = build_route_index(declared);
    std::map<target_id, int> chosen;
    for (std::size_t daemon = 0; daemon < daemon_count; ++daemon) {
        health_map health = stale_report(declared);
        for (int i = 0; i < requests_each; ++i) {
            chain_query query;
            query.model = model_id("assistant");
            query.from = data_centre_id("erie-a");
            query.seed = hash_of("request" + std::to_string(i), daemon);
            query.policy = policy;
            const auto selected = choose_chain(index, health, query, time_point{0});
            REQUIRE(selected.ok());
            for (const hop& stage : selected->hops()) {
                ++chosen[stage.target];
                ++health[stage.target].in_flight;
            }
        }
    }
    return chosen;
}

double largest_share(const declarations& declared, chain_policy policy)
{
    constexpr int requests_each = 20;
    const auto chosen = count_choices(declared, policy, requests_each);
    const auto most = std::ranges::max_element(chosen, {}, [](const auto& each) { return each.second; });
    return most->second / static_cast<double>(daemon_count * requests_each);
}

// All engines are equal, so that the fair share of each is one over the number of replicas.
declarations equal_engines(int replicas)
{
    declarations declared = testing::mixed_pipeline({"erie-a"}, replicas);
    for (auto& [id, engine] : declared.targets) {
        engine.engine->step_ms = 5;
        engine.engine->tokens_per_second = 2000;
    }
    return declared;
}

} // namespace

TEST_CASE("nine daemons with the same stale report do not all choose the engine that seems idle")
{
    const declarations declared = equal_engines(10);
    // With two samples out of ten engines, a fifth of the requests consider an engine: twice its fair share.
    constexpr double twice_fair = 0.2;
    constexpr double sampling_error = 0.08;
    CHECK(largest_share(declared, chain_policy::least_cost) <= twice_fair + sampling_error);
    // The baseline policy sends all requests to one engine of each stage.
    CHECK(largest_share(declared, chain_policy::least_reported) == 1.0);
}

TEST_CASE("an engine that always reports no load gets at most twice its share")
{
    testing::simulation_plan plan;
    plan.declared = equal_engines(10);
    plan.daemons = daemon_count;
    plan.duration_ms = 10'000;
    plan.window_ms = 4'000;
    const double bound = find_throughput_bound(plan.declared, model_id("assistant")).tokens_per_second;
    plan.offered_tokens_per_second = 0.8 * bound;
    const target_id misreporting("erie-a-stage1-0");
    plan.faults.push_back({0, misreporting.value, testing::simulated_fault::kind::reports_nothing, 1});
    const testing::simulation_result result = testing::simulate(plan);
    const double share =
        static_cast<double>(result.sent.at(misreporting)) / static_cast<double>(result.requests);
    const double goodput = result.good_tokens_per_second / plan.offered_tokens_per_second;
    MESSAGE("share=" << share << " goodput=" << goodput);
    CHECK(share <= 0.2);
    CHECK(goodput >= 0.95);

    plan.policy = chain_policy::least_reported;
    const testing::simulation_result naive = testing::simulate(plan);
    MESSAGE("naive share=" << static_cast<double>(naive.sent.at(misreporting)) /
                                  static_cast<double>(naive.requests)
                           << " goodput=" << naive.good_tokens_per_second / plan.offered_tokens_per_second);
    CHECK(naive.sent.at(misreporting) > naive.requests / 2);
}

} // namespace dandelionstep
