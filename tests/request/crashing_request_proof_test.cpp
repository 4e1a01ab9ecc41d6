#include "support/crash_simulation.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr std::uint64_t seeds = 300;

struct result {
    std::int64_t most_crashes = 0;
    int harmless_refused = 0;
    int harmless_unfinished = 0;
    int harmless_broken = 0;
    int crashers_not_refused = 0;
};

result run_all(crash_plan plan)
{
    result all;
    for (plan.seed = 0; plan.seed < seeds; ++plan.seed) {
        crash_simulation run(plan);
        run.run();
        all.most_crashes = std::max(all.most_crashes, run.takedowns);
        all.harmless_refused += run.innocents_refused;
        all.harmless_unfinished += plan.innocents - run.innocents_finished;
        all.harmless_broken += run.innocents_broken;
        all.crashers_not_refused += run.crasher_refused > 0 ? 0 : 1;
    }
    return all;
}

// The largest number of crashes when the request is sent to one daemon after another: those until it is
// blocked, and those that it still causes while the other daemons do not know of the last crash yet.
std::int64_t sequential_bound(const crash_plan& plan)
{
    const suspect_limits limits;
    const std::int64_t meanwhile = (plan.spread_ms + plan.kill_ms - 1) / plan.kill_ms;
    return static_cast<std::int64_t>(limits.always_block_at) + meanwhile;
}

} // namespace

TEST_CASE("a request that crashes its targets crashes a bounded number of them, however often its caller "
          "repeats it")
{
    for (const std::size_t daemons : {3U, 30U}) {
        CAPTURE(daemons);
        const crash_plan plan{.daemons = daemons, .targets = 2 * daemons};
        const result all = run_all(plan);
        MESSAGE(daemons, " daemons: most crashes ", all.most_crashes, ", harmless requests broken ",
                all.harmless_broken);
        CHECK(all.most_crashes <= sequential_bound(plan));
        CHECK(all.crashers_not_refused == 0);
        CHECK(all.harmless_broken > 0);
        CHECK(all.harmless_refused == 0);
        CHECK(all.harmless_unfinished == 0);
    }
}

TEST_CASE("a crashing request sent to all daemons at once crashes a bounded number of targets per copy")
{
    for (const std::size_t daemons : {3U, 30U}) {
        CAPTURE(daemons);
        const crash_plan plan{.daemons = daemons, .targets = 2 * daemons, .at_once = true};
        const result all = run_all(plan);
        MESSAGE(daemons, " daemons at once: most crashes ", all.most_crashes, ", harmless requests broken ",
                all.harmless_broken);
        CHECK(all.most_crashes <= static_cast<std::int64_t>(daemons * suspect_limits{}.always_block_at));
        CHECK(all.crashers_not_refused == 0);
        CHECK(all.harmless_refused == 0);
        CHECK(all.harmless_unfinished == 0);
    }
}

TEST_CASE("without tracking of suspects every repetition of a crashing request crashes targets")
{
    crash_plan plan{.daemons = 3, .targets = 6};
    plan.naive = true;
    const result all = run_all(plan);
    MESSAGE("naive: most crashes ", all.most_crashes);
    CHECK(all.most_crashes > 10 * sequential_bound(plan));
}
