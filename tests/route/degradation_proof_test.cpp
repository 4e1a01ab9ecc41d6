#include "route/throughput_bound.hpp"
#include "support/pipeline_simulation.hpp"

#include <doctest/doctest.h>

namespace dandelionstep {
namespace {

using testing::simulated_fault;

constexpr double goodput_target = 0.90;

testing::simulation_plan plan_with(declarations declared)
{
    testing::simulation_plan plan;
    plan.declared = std::move(declared);
    plan.daemons = 9;
    plan.duration_ms = 15'000;
    plan.window_ms = 5'000;
    return plan;
}

double bound_of(const declarations& declared, const std::set<target_id>& lost = {})
{
    return find_throughput_bound(declared, model_id("assistant"), lost).tokens_per_second;
}

double goodput_share(const testing::simulation_plan& plan)
{
    const testing::simulation_result result = testing::simulate(plan);
    MESSAGE("requests=" << result.requests << " whole=" << result.whole_in_window
                        << " p95_token_gap_ms=" << result.p95_token_gap_ms);
    return result.good_tokens_per_second / plan.offered_tokens_per_second;
}

} // namespace

TEST_CASE("one slow replica of a stage does not slow down the others")
{
    testing::simulation_plan plan = plan_with(testing::mixed_pipeline({"erie-a"}, 8));
    const std::string slow = "erie-a-stage1-1";
    // The offered load leaves the slow replica's capacity out.
    plan.offered_tokens_per_second = 0.95 * bound_of(plan.declared, {target_id(slow)});
    plan.faults.push_back({3'000, slow, simulated_fault::kind::slows, 10});
    CHECK(goodput_share(plan) >= goodput_target);
    plan.policy = chain_policy::random;
    CHECK(goodput_share(plan) < goodput_target);
}

TEST_CASE("a stage that loses half of its replicas reaches the throughput bound of the remaining ones")
{
    testing::simulation_plan plan = plan_with(testing::mixed_pipeline({"erie-a"}, 8));
    std::set<target_id> lost;
    for (int i = 0; i < 4; ++i) {
        const std::string name = "erie-a-stage2-" + std::to_string(i);
        lost.insert(target_id(name));
        plan.faults.push_back({0, name, simulated_fault::kind::dies, 1});
    }
    plan.offered_tokens_per_second = 0.95 * bound_of(plan.declared, lost);
    CHECK(goodput_share(plan) >= goodput_target);
}

TEST_CASE("a link that is a hundred times slower is avoided while there is another chain")
{
    declarations declared = testing::mixed_pipeline({"erie-a", "ontario-b"}, 4);
    const double alone = bound_of(testing::mixed_pipeline({"erie-a"}, 4));
    declared.links.push_back({data_centre_id("erie-a"), data_centre_id("ontario-b"), 50, 10});
    testing::simulation_plan plan = plan_with(declared);
    plan.offered_tokens_per_second = 0.9 * alone;
    // The window is too short for an answer whose tokens cross the link.
    plan.window_ms = 3'000;
    CHECK(goodput_share(plan) >= goodput_target);
    plan.policy = chain_policy::random;
    CHECK(goodput_share(plan) < goodput_target);
}

} // namespace dandelionstep
