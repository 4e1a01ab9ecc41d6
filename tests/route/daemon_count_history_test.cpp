#include "route/daemon_count_history.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;

namespace {

constexpr milliseconds window{10'000};

time_point at(std::int64_t ms)
{
    return {ms};
}

} // namespace

TEST_CASE("a smaller number of sharers counts only once the larger one lies a window behind")
{
    sharer_count sharers;
    CHECK(most_sharers(sharers, at(0)) == 0);
    note_sharers(sharers, 8, at(0), window);
    note_sharers(sharers, 6, at(1'000), window);
    note_sharers(sharers, 4, at(9'000), window);
    CHECK(most_sharers(sharers, at(10'999)) == 8);
    CHECK(most_sharers(sharers, at(11'000)) == 6);
    CHECK(most_sharers(sharers, at(18'999)) == 6);
    CHECK(most_sharers(sharers, at(19'000)) == 4);
    note_sharers(sharers, 5, at(20'000), window);
    CHECK(most_sharers(sharers, at(20'000)) == 5);
}

TEST_CASE("after a time in which nothing was heard, the number before it counts for a window")
{
    sharer_count sharers;
    note_sharers(sharers, 8, at(0), window);
    note_sharers(sharers, 1, at(60'000), window);
    CHECK(most_sharers(sharers, at(69'999)) == 8);
    CHECK(most_sharers(sharers, at(70'000)) == 1);
}

TEST_CASE("numbers that come and go are not gathered")
{
    sharer_count sharers;
    for (std::int64_t i = 0; i < 1'000; ++i) {
        note_sharers(sharers, 3 + i % 5, at(i * 100), window);
        CHECK(sharers.numbers.size() <= 5);
    }
}
