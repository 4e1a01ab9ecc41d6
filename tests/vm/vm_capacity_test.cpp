#include "vm/vm_capacity.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;

TEST_CASE("the rate at which a VM can answer is bounded by its processor and its network link")
{
    CHECK(answering_capacity({0.5, 20}) == answering_capacity({4, 20}));
    CHECK(answering_capacity({0.1, 100}) == answering_capacity({0.1, 1'000}));
    CHECK(answering_capacity({0.5, 200}) > answering_capacity({0.12, 20}));
}

TEST_CASE("the election delay of a VM grows as its capacity falls, within bounds")
{
    CHECK(election_delay_factor({0.5, 200}) == 1);
    CHECK(election_delay_factor({0.12, 20}) > election_delay_factor({0.25, 60}));
    CHECK(election_delay_factor({0, 0}) == 5);
}
