#include "organisation/request_rank.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;

// A route's priority was lost when its organisation had one, so that all requests of such organisations were
// alike.
TEST_CASE("requests rank by their organisation's priority, and within it by their route's")
{
    CHECK(request_rank(0, 2) < request_rank(1, 0));
    CHECK(request_rank(1, 0) < request_rank(1, 1));
    CHECK(request_rank(1, 1) < request_rank(1, 2));
    CHECK(request_rank(std::nullopt, 1) == 1);
    CHECK(request_rank(-5, 12) == request_rank(0, 9));
}

TEST_CASE("engines are told the rank as an urgency of 0 to 9 that keeps the order")
{
    CHECK(engine_urgency(request_rank(std::nullopt, 0)) == 0);
    CHECK(engine_urgency(request_rank(0, 2)) < engine_urgency(request_rank(1, 0)));
    CHECK(engine_urgency(request_rank(1, 0)) < engine_urgency(request_rank(1, 2)));
    CHECK(engine_urgency(request_rank(9, 9)) == 9);
}
