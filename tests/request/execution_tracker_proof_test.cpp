#include "request/execution_tracker.hpp"

#include <doctest/doctest.h>
#include <string>
#include <type_traits>
#include <vector>

using namespace dandelionstep;

// A refusal and its outcome can be read and copied, but only execution_tracker can create them.
static_assert(!std::is_default_constructible_v<refusal>);
static_assert(!std::is_default_constructible_v<proven_outcome>);
static_assert(!std::is_constructible_v<proven_outcome, outcome>);
static_assert(!std::is_convertible_v<outcome, proven_outcome>);
static_assert(!std::is_assignable_v<proven_outcome&, outcome>);
static_assert(std::is_copy_assignable_v<refusal>);

TEST_CASE("a refusal says not_run exactly while no attempt may have run")
{
    struct row {
        std::string name;
        //! Each 's' begins an attempt, each 'p' proves that one did not run.
        std::string history;
        outcome expected;
    };
    const std::vector<row> rows{
        {"nothing was sent", "", outcome::not_run},
        {"sent", "s", outcome::unknown},
        {"sent and proven not run", "sp", outcome::not_run},
        {"sent twice, the first proven not run", "sps", outcome::unknown},
        {"sent twice, both proven not run", "spsp", outcome::not_run},
        {"sent twice, only one proven not run", "ssp", outcome::unknown},
        {"proven more often than sent", "ppps", outcome::unknown},
    };
    for (const row& each : rows) {
        CAPTURE(each.name);
        execution_tracker execution;
        for (const char step : each.history) {
            if (step == 's') {
                execution.begin_send();
            } else {
                execution.prove_not_run();
            }
        }
        const refusal why = execution.refuse(error_code::no_capacity, "why", {1000});
        CHECK(why.result == each.expected);
        CHECK(execution.may_have_run() == (each.expected == outcome::unknown));
    }
}
