#include "organisation/limit_share.hpp"

#include <doctest/doctest.h>
#include <numeric>
#include <random>

namespace dandelionstep {
namespace {

constexpr double limit = 100;

std::vector<std::int64_t> random_demand(std::mt19937& random, std::size_t daemons)
{
    std::vector<std::int64_t> demand(daemons);
    for (std::int64_t& each : demand) {
        each = std::uniform_int_distribution<std::int64_t>(0, 50)(random);
    }
    return demand;
}

// The sum of the parts of daemons [first, last), which get the reports of each other and of no other daemons.
double sum_of_side(const std::vector<std::int64_t>& demand, std::size_t first, std::size_t last)
{
    double sum = 0;
    for (std::size_t own = first; own < last; ++own) {
        limit_demand known{
            .own = demand[own], .others = {}, .daemons = static_cast<std::int64_t>(demand.size())};
        for (std::size_t other = first; other < last; ++other) {
            if (other != own) {
                known.others.push_back(demand[other]);
            }
        }
        sum += limit_share(limit, known);
    }
    return sum;
}

} // namespace

TEST_CASE("daemons with the same reports use the whole limit and no more")
{
    std::mt19937 random(11);
    for (int round = 0; round < 200; ++round) {
        const auto demand = random_demand(random, 1 + static_cast<std::size_t>(round) % 20);
        CHECK(sum_of_side(demand, 0, demand.size()) == doctest::Approx(limit));
    }
}

TEST_CASE("the parts on all sides of a partition add up to no more than the limit")
{
    std::mt19937 random(12);
    for (int round = 0; round < 200; ++round) {
        const auto demand = random_demand(random, 2 + static_cast<std::size_t>(round) % 20);
        const std::size_t cut = 1 + random() % (demand.size() - 1);
        const double both = sum_of_side(demand, 0, cut) + sum_of_side(demand, cut, demand.size());
        CHECK(both <= limit * (1 + 1e-9));
    }
}

TEST_CASE("a daemon without reports from others keeps its even part")
{
    CHECK(limit_share(limit, {.own = 40, .others = {}, .daemons = 10}) == doctest::Approx(limit / 10));
}

TEST_CASE("parts follow demand")
{
    const double busy = limit_share(limit, {.own = 90, .others = {10, 0}, .daemons = 3});
    const double idle = limit_share(limit, {.own = 0, .others = {90, 10}, .daemons = 3});
    CHECK(busy == doctest::Approx(limit / 6 + limit / 2 * 0.9));
    CHECK(idle == doctest::Approx(limit / 6));
}

TEST_CASE("whatever reports a daemon has, its part is at most its even part plus half of the limit")
{
    std::mt19937 random(13);
    for (int round = 0; round < 200; ++round) {
        const std::size_t daemons = 1 + static_cast<std::size_t>(round) % 20;
        limit_demand known{.own = 50, .others = random_demand(random, daemons - 1), .daemons = 1};
        CHECK(limit_share(limit, known) <= limit / 2 / static_cast<double>(daemons) + limit / 2 + 1e-9);
    }
}

} // namespace dandelionstep
