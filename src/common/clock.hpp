#pragma once

#include <compare>
#include <cstdint>

namespace dandelionstep {

//! A span of time in milliseconds.
struct milliseconds {
    std::int64_t count = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): takes the 0 in it for a pointer
    friend constexpr auto operator<=>(milliseconds, milliseconds) = default;
    friend constexpr milliseconds operator+(milliseconds a, milliseconds b) { return {a.count + b.count}; }
    friend constexpr milliseconds operator-(milliseconds a, milliseconds b) { return {a.count - b.count}; }
    friend constexpr milliseconds operator*(milliseconds a, std::int64_t n) { return {a.count * n}; }
    friend constexpr milliseconds operator/(milliseconds a, std::int64_t n) { return {a.count / n}; }
};

//! A point on one process's monotonic clock, in milliseconds since an arbitrary start.
struct time_point {
    std::int64_t count = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): takes the 0 in it for a pointer
    friend constexpr auto operator<=>(time_point, time_point) = default;
    friend constexpr time_point operator+(time_point t, milliseconds d) { return {t.count + d.count}; }
    friend constexpr time_point operator-(time_point t, milliseconds d) { return {t.count - d.count}; }
    friend constexpr milliseconds operator-(time_point a, time_point b) { return {a.count - b.count}; }
};

//! A point in civil time, in milliseconds since 1970; compared between machines, so only loosely trusted.
struct wall_time {
    std::int64_t count = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): takes the 0 in it for a pointer
    friend constexpr auto operator<=>(wall_time, wall_time) = default;
};

//! Later than every point that a clock reads.
inline constexpr time_point never{INT64_MAX / 2};

} // namespace dandelionstep
