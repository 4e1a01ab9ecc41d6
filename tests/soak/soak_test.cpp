#include "soak/soak_check.hpp"

#include <doctest/doctest.h>
#include <initializer_list>

TEST_CASE("promises hold under faults from outside the processes")
{
    constexpr int seconds = 6;
    dandelionstep::soak::check_seed(1, seconds, true);
}

TEST_CASE("planned work beside silent targets costs no request its answer or refusal")
{
    constexpr int seconds = 10;
    for (const std::uint64_t seed : {std::uint64_t{2}, std::uint64_t{4}}) {
        dandelionstep::soak::check_planned_seed(seed, seconds);
    }
}
