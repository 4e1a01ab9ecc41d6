#include "support/order_simulation.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr std::uint64_t seeds = 20'000;

order_simulation finished_run(std::uint64_t seed, bool naive, bool operator_settles = false)
{
    order_simulation run({.seed = seed, .naive = naive, .operator_settles = operator_settles});
    run.run();
    return run;
}

} // namespace

TEST_CASE("an order with one key is executed at most once under any faults")
{
    std::int64_t executed = 0;
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        const order_simulation run = finished_run(seed, false);
        CAPTURE(seed);
        REQUIRE(run.executions() <= 1);
        executed += run.executions();
    }
    // If the faults kept most runs from executing the order, the check above would prove little.
    CHECK(executed > static_cast<std::int64_t>(seeds) / 2);
}

TEST_CASE("an attempt reported as not_run never runs, not even later, and an order reported as completed ran")
{
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        const order_simulation run = finished_run(seed, false);
        CAPTURE(seed);
        for (const simulated_attempt& attempt : run.attempts) {
            const bool told_not_run = attempt.told == outcome::not_run;
            REQUIRE((!told_not_run || attempt.executions == 0));
            REQUIRE((attempt.told != outcome::completed || run.executions() == 1));
        }
    }
}

TEST_CASE(
    "every caller whose daemon lives gets exactly one answer, and an order that ran is never claimed again")
{
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        const order_simulation run = finished_run(seed, false);
        CAPTURE(seed);
        for (const simulated_attempt& attempt : run.attempts) {
            REQUIRE((run.died(attempt.daemon) || attempt.answers == 1));
            REQUIRE(attempt.answers <= 1);
        }
        if (run.executions() > 0) {
            REQUIRE(run.table.row);
            const order_phase phase = run.table.row->record.phase;
            REQUIRE((phase == order_phase::sending || phase == order_phase::done));
        }
    }
}

TEST_CASE("an order does not run twice even if an operator settles it wrongly")
{
    std::int64_t settled = 0;
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        const order_simulation run = finished_run(seed, false, true);
        CAPTURE(seed);
        REQUIRE(run.executions() <= 1);
        const bool has_row = run.table.row.has_value();
        settled += has_row && !run.table.row->record.note.empty() ? 1 : 0;
    }
    CHECK(settled > static_cast<std::int64_t>(seeds) / 10);
}

TEST_CASE("the simulation finds orders that ran twice and false answers in a router without claims")
{
    std::int64_t run_twice = 0;
    std::int64_t false_answers = 0;
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        const order_simulation run = finished_run(seed, true);
        run_twice += run.executions() > 1 ? 1 : 0;
        for (const simulated_attempt& attempt : run.attempts) {
            false_answers += attempt.told == outcome::not_run && attempt.executions > 0 ? 1 : 0;
        }
    }
    MESSAGE("naive: the order ran twice in ", run_twice, " of ", seeds, " runs, ", false_answers,
            " false answers");
    CHECK(run_twice > 0);
    CHECK(false_answers > 0);
}
