#include "report/log_budget.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;

TEST_CASE("lines stay within their rate, and what is left out is counted")
{
    log_budget budget;
    int written = 0;
    constexpr int per_second = 1000;
    for (int ms = 0; ms < 10'000; ++ms) {
        written += may_log(budget, log_weight::failure, {ms}) ? 1 : 0;
    }
    // Forty a second and as many saved up at the start.
    CHECK(written <= 440);
    CHECK(written >= 400);
    CHECK(budget.dropped_failures == 10 * per_second - written);
}

TEST_CASE("successes never displace failures")
{
    log_budget budget;
    for (int i = 0; i < 1000; ++i) {
        may_log(budget, log_weight::success, {0});
    }
    CHECK(may_log(budget, log_weight::failure, {0}));
    CHECK(budget.dropped_failures == 0);
    CHECK(budget.dropped_successes > 900);
}
