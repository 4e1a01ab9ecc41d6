#include "support/crash_simulation.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr std::uint64_t seeds = 300;

struct result {
    std::int64_t most_takedowns = 0;
    int innocents_refused = 0;
    int innocents_unfinished = 0;
    int innocents_broken = 0;
    int crashers_not_refused = 0;
};

result run_all(crash_plan plan)
{
    result all;
    for (plan.seed = 0; plan.seed < seeds; ++plan.seed) {
        crash_simulation run(plan);
        run.run();
        all.most_takedowns = std::max(all.most_takedowns, run.takedowns);
        all.innocents_refused += run.innocents_refused;
        all.innocents_unfinished += plan.innocents - run.innocents_finished;
        all.innocents_broken += run.innocents_broken;
        all.crashers_not_refused += run.crasher_refused > 0 ? 0 : 1;
    }
    return all;
}

// Sent one after another: those until it is condemned, and those that it still takes while the news is on its
// way.
std::int64_t bound_one_after_another(const crash_plan& plan)
{
    const suspect_limits limits;
    const std::int64_t meanwhile = (plan.spread_ms + plan.kill_ms - 1) / plan.kill_ms;
    return static_cast<std::int64_t>(limits.always_block_at) + meanwhile;
}

} // namespace

TEST_CASE(
    "a request that crashes its targets takes down a bounded number, however often its caller repeats it")
{
    for (const std::size_t daemons : {3U, 30U}) {
        CAPTURE(daemons);
        const crash_plan plan{.daemons = daemons, .targets = 2 * daemons};
        const result all = run_all(plan);
        MESSAGE(daemons, " daemons: most takedowns ", all.most_takedowns, ", innocents broken ",
                all.innocents_broken);
        CHECK(all.most_takedowns <= bound_one_after_another(plan));
        CHECK(all.crashers_not_refused == 0);
        CHECK(all.innocents_broken > 0);
        CHECK(all.innocents_refused == 0);
        CHECK(all.innocents_unfinished == 0);
    }
}

TEST_CASE("sent through all daemons at once, each copy adds no more than the deaths until it is condemned")
{
    for (const std::size_t daemons : {3U, 30U}) {
        CAPTURE(daemons);
        const crash_plan plan{.daemons = daemons, .targets = 2 * daemons, .at_once = true};
        const result all = run_all(plan);
        MESSAGE(daemons, " daemons at once: most takedowns ", all.most_takedowns, ", innocents broken ",
                all.innocents_broken);
        CHECK(all.most_takedowns <= static_cast<std::int64_t>(daemons * suspect_limits{}.always_block_at));
        CHECK(all.crashers_not_refused == 0);
        CHECK(all.innocents_refused == 0);
        CHECK(all.innocents_unfinished == 0);
    }
}

TEST_CASE("without suspects every repeat takes targets down")
{
    crash_plan plan{.daemons = 3, .targets = 6};
    plan.naive = true;
    const result all = run_all(plan);
    MESSAGE("naive: most takedowns ", all.most_takedowns);
    CHECK(all.most_takedowns > 10 * bound_one_after_another(plan));
}
