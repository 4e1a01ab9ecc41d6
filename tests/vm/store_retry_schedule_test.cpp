#include "vm/store_retry_schedule.hpp"

#include <algorithm>
#include <cstdint>
#include <doctest/doctest.h>
#include <random>
#include <vector>

using namespace dandelionstep;

namespace {

struct search_counts {
    //! Rounds until the only daemon that the store accepts has tried.
    std::int64_t rounds = 0;
    std::int64_t tries = 0;
};

// Simulates a store that accepts one of `daemons`; each daemon decides for itself after each round.
template <typename Decide>
search_counts find_accepted_daemon(std::int64_t daemons, Decide decide)
{
    search_counts counts;
    bool found = false;
    while (!found) {
        ++counts.rounds;
        for (std::int64_t i = 0; i < daemons; ++i) {
            const bool tries = decide(i);
            counts.tries += tries ? 1 : 0;
            found = found || (tries && i == 0);
        }
    }
    return counts;
}

search_counts with_schedule(std::int64_t daemons, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> draw(0, 1);
    std::vector<store_retry_schedule> schedules(static_cast<std::size_t>(daemons));
    return find_accepted_daemon(daemons, [&](std::int64_t i) {
        return should_try_store(schedules[static_cast<std::size_t>(i)], daemons, draw(random));
    });
}

// The simpler rule for comparison: on average two daemons try after each round, drawn independently.
search_counts with_independent_draws(std::int64_t daemons, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> draw(0, 1);
    return find_accepted_daemon(
        daemons, [&](std::int64_t) { return draw(random) * static_cast<double>(daemons) < 2; });
}

} // namespace

TEST_CASE("the only daemon that the store accepts is found faster than by independent draws")
{
    struct expectation {
        std::int64_t daemons;
        std::int64_t most_rounds;
    };
    for (const expectation& expected : {expectation{1, 1}, {2, 1}, {7, 3}, {60, 9}, {400, 52}}) {
        const std::int64_t daemons = expected.daemons;
        CAPTURE(daemons);
        std::int64_t longest = 0;
        std::int64_t longest_by_draws = 0;
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            const search_counts found = with_schedule(daemons, seed);
            longest = std::max(longest, found.rounds);
            longest_by_draws = std::max(longest_by_draws, with_independent_draws(daemons, seed).rounds);
            CHECK(found.tries <= daemons);
        }
        CHECK(longest <= expected.most_rounds);
        CHECK((daemons < 7 || longest_by_draws > 2 * expected.most_rounds));
    }
}

TEST_CASE("while the store accepts no daemon, few of them try it at the same time, and all try equally often")
{
    constexpr std::int64_t daemons = 60;
    constexpr std::int64_t first_rounds = 9;
    constexpr std::int64_t cycle_rounds = 30;
    constexpr std::int64_t dozens = 24;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        std::uniform_real_distribution<double> draw(0, 1);
        std::vector<store_retry_schedule> schedules(daemons);
        std::vector<std::int64_t> tries(daemons);
        std::int64_t in_first_rounds = 0;
        for (std::int64_t round = 0; round < first_rounds + cycle_rounds; ++round) {
            std::int64_t now = 0;
            for (std::size_t i = 0; i < daemons; ++i) {
                const bool is_trying = should_try_store(schedules[i], daemons, draw(random));
                tries[i] += is_trying ? 1 : 0;
                now += is_trying ? 1 : 0;
            }
            in_first_rounds += round < 4 ? now : 0;
            CHECK(now < dozens);
        }
        CHECK(in_first_rounds < 2 * dozens);
        CHECK(std::ranges::all_of(tries, [](std::int64_t count) { return count == 2; }));
    }
}
