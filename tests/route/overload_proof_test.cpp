#include "route/throughput_bound.hpp"
#include "support/pipeline_simulation.hpp"

#include <doctest/doctest.h>

namespace dandelionstep {
namespace {

testing::simulation_plan plan_at(double load)
{
    testing::simulation_plan plan;
    plan.declared = testing::mixed_pipeline({"erie-a"}, 8);
    plan.daemons = 3;
    plan.duration_ms = 20'000;
    plan.window_ms = 4'000;
    plan.offered_tokens_per_second =
        load * find_throughput_bound(plan.declared, model_id("assistant")).tokens_per_second;
    return plan;
}

double share_of_bound(const testing::simulation_plan& plan, double load)
{
    const testing::simulation_result result = testing::simulate(plan);
    const double share = result.good_tokens_per_second * load / plan.offered_tokens_per_second;
    MESSAGE("admission=" << plan.admission << " share=" << share << " requests=" << result.requests
                         << " refused=" << result.refused << " p95_first_token_ms="
                         << result.p95_first_token_ms << " p95_token_gap_ms=" << result.p95_token_gap_ms);
    return share;
}

} // namespace

TEST_CASE("goodput stays near the bound when the offered load is twice the bound")
{
    testing::simulation_plan plan = plan_at(2);
    plan.admission = true;
    CHECK(share_of_bound(plan, 2) >= 0.90);
    plan.admission = false;
    // Without admission control, in the end every answer misses its window.
    CHECK(share_of_bound(plan, 2) < 0.50);
}

TEST_CASE("admission control costs little goodput when the offered load equals the bound")
{
    testing::simulation_plan plan = plan_at(1);
    plan.admission = true;
    CHECK(share_of_bound(plan, 1) >= 0.95);
}

TEST_CASE("under overload the time to the first token and between tokens stays within the service levels")
{
    testing::simulation_plan plan = plan_at(2);
    plan.admission = true;
    const testing::simulation_result result = testing::simulate(plan);
    // Service levels.
    CHECK(result.p95_first_token_ms <= 1'900);
    CHECK(result.p95_token_gap_ms <= 65);
}

} // namespace dandelionstep
