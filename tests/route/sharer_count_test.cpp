#include "route/sharer_count.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;

namespace {

constexpr milliseconds window{10'000};

time_point at(std::int64_t ms)
{
    return {ms};
}

} // namespace

TEST_CASE("a smaller count is effective only one window after it was recorded")
{
    daemon_count_history history;
    CHECK(max_recent_daemon_count(history, at(0)) == 0);
    record_daemon_count(history, 8, at(0), window);
    record_daemon_count(history, 6, at(1'000), window);
    record_daemon_count(history, 4, at(9'000), window);
    CHECK(max_recent_daemon_count(history, at(10'999)) == 8);
    CHECK(max_recent_daemon_count(history, at(11'000)) == 6);
    CHECK(max_recent_daemon_count(history, at(18'999)) == 6);
    CHECK(max_recent_daemon_count(history, at(19'000)) == 4);
    record_daemon_count(history, 5, at(20'000), window);
    CHECK(max_recent_daemon_count(history, at(20'000)) == 5);
}

TEST_CASE("the previous count remains valid for a window, even if no count was recorded for a long time")
{
    daemon_count_history history;
    record_daemon_count(history, 8, at(0), window);
    record_daemon_count(history, 1, at(60'000), window);
    CHECK(max_recent_daemon_count(history, at(69'999)) == 8);
    CHECK(max_recent_daemon_count(history, at(70'000)) == 1);
}

TEST_CASE("the history does not grow when counts alternate")
{
    daemon_count_history history;
    for (std::int64_t i = 0; i < 1'000; ++i) {
        record_daemon_count(history, 3 + i % 5, at(i * 100), window);
        CHECK(history.counts.size() <= 5);
    }
}
