#include "target/doubtful_targets.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;

TEST_CASE("a target in doubt is kept until its time is over")
{
    const doubtful_targets doubtful{{target_id("a"), {300}}, {target_id("b"), {100}}};
    CHECK(overdue(doubtful, {99}).empty());
    CHECK(overdue(doubtful, {100}) == std::vector<target_id>{target_id("b")});
    CHECK(overdue(doubtful, {300}).size() == 2);
}

TEST_CASE("the first target in doubt to be given up tells when to look again")
{
    CHECK_FALSE(first_overdue_at({}));
    CHECK(first_overdue_at({{target_id("a"), {300}}, {target_id("b"), {100}}}) == time_point{100});
}
