#include "route/throughput_bound.hpp"
#include "support/pipeline_simulation.hpp"

#include <doctest/doctest.h>

namespace dandelionstep {
namespace {

constexpr double window_ms = 4'000;

testing::simulation_plan base_plan()
{
    testing::simulation_plan plan;
    plan.declared = testing::mixed_pipeline({"erie-a"}, 4);
    plan.daemons = 3;
    plan.duration_ms = 20'000;
    plan.window_ms = window_ms;
    plan.admission = true;
    return plan;
}

testing::organisation_result small_beside(const std::vector<testing::simulated_organisation>& others,
                                          bool admission = true)
{
    testing::simulation_plan plan = base_plan();
    const double bound = find_throughput_bound(plan.declared, model_id("assistant")).tokens_per_second;
    plan.organisations.push_back({.name = "small", .offered_tokens_per_second = 0.1 * bound});
    for (testing::simulated_organisation other : others) {
        other.offered_tokens_per_second *= bound;
        plan.organisations.push_back(other);
    }
    plan.admission = admission;
    const testing::simulation_result result = testing::simulate(plan);
    for (const auto& [name, each] : result.organisations) {
        MESSAGE(name << " requests=" << each.requests << " whole=" << each.whole_in_window
                     << " refused=" << each.refused << " p95_first_token_ms=" << each.p95_first_token_ms);
    }
    return result.organisations.at("small");
}

const testing::simulated_organisation burst{
    .name = "large", .weight = 1, .offered_tokens_per_second = 3, .from_ms = 5'000, .until_ms = 15'000};

} // namespace

TEST_CASE("a large organisation's burst of three times the throughput bound does not hurt a small one")
{
    const testing::organisation_result alone = small_beside({});
    const testing::organisation_result beside = small_beside({burst});
    REQUIRE(alone.requests == beside.requests);
    CHECK(alone.whole_in_window == alone.requests);
    // For the small organisation, 95 % of the answers still begin within the service level, and 99 % are
    // complete.
    CHECK(beside.p95_first_token_ms <= 1'900);
    CHECK(beside.whole_in_window * 100 >= beside.requests * 99);
    // The burst may delay a request only until one slot becomes free.
    CHECK(beside.p95_first_token_ms - alone.p95_first_token_ms <= 500);
}

TEST_CASE("without admission control the burst makes more than a tenth of the small organisation's answers "
          "late or incomplete")
{
    const testing::organisation_result beside = small_beside({burst}, false);
    CHECK(beside.whole_in_window * 100 < beside.requests * 90);
}

TEST_CASE("two organisations with bursts share the capacity by their weights")
{
    testing::simulation_plan plan = base_plan();
    const double bound = find_throughput_bound(plan.declared, model_id("assistant")).tokens_per_second;
    plan.organisations = {{.name = "light", .weight = 1, .offered_tokens_per_second = 2 * bound},
                          {.name = "heavy", .weight = 3, .offered_tokens_per_second = 2 * bound}};
    const testing::simulation_result result = testing::simulate(plan);
    const auto light = static_cast<double>(result.organisations.at("light").whole_in_window);
    const auto heavy = static_cast<double>(result.organisations.at("heavy").whole_in_window);
    MESSAGE("light=" << light << " heavy=" << heavy);
    CHECK(heavy / light == doctest::Approx(3).epsilon(0.15));
}

} // namespace dandelionstep
