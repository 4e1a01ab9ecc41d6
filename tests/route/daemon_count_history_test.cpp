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
    daemon_count_history sharers;
    CHECK(max_recent_daemon_count(sharers, at(0)) == 0);
    record_daemon_count(sharers, 8, at(0), window);
    record_daemon_count(sharers, 6, at(1'000), window);
    record_daemon_count(sharers, 4, at(9'000), window);
    CHECK(max_recent_daemon_count(sharers, at(10'999)) == 8);
    CHECK(max_recent_daemon_count(sharers, at(11'000)) == 6);
    CHECK(max_recent_daemon_count(sharers, at(18'999)) == 6);
    CHECK(max_recent_daemon_count(sharers, at(19'000)) == 4);
    record_daemon_count(sharers, 5, at(20'000), window);
    CHECK(max_recent_daemon_count(sharers, at(20'000)) == 5);
}

TEST_CASE("after a time in which nothing was heard, the number before it counts for a window")
{
    daemon_count_history sharers;
    record_daemon_count(sharers, 8, at(0), window);
    record_daemon_count(sharers, 1, at(60'000), window);
    CHECK(max_recent_daemon_count(sharers, at(69'999)) == 8);
    CHECK(max_recent_daemon_count(sharers, at(70'000)) == 1);
}

TEST_CASE("numbers that come and go are not gathered")
{
    daemon_count_history sharers;
    for (std::int64_t i = 0; i < 1'000; ++i) {
        record_daemon_count(sharers, 3 + i % 5, at(i * 100), window);
        CHECK(sharers.counts.size() <= 5);
    }
}
