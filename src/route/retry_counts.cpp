#include "route/retry_counts.hpp"

#include <algorithm>
#include <limits>

namespace dandelionstep {
namespace {

using slot_counts = std::array<std::int32_t, retry_counts::slots_kept>;

std::int64_t slot_at(const retry_counts& counts, time_point when)
{
    return when.count / counts.slot.count;
}

std::size_t place_of(std::int64_t slot)
{
    return static_cast<std::size_t>(slot % retry_counts::slots_kept);
}

// Clears the slots that began since the latest one.
void advance(retry_counts& counts, std::int64_t now)
{
    const std::int64_t first = std::max(counts.latest + 1, now - retry_counts::slots_kept + 1);
    for (std::int64_t slot = first; slot <= now; ++slot) {
        counts.requests[place_of(slot)] = 0;
        counts.retries[place_of(slot)] = 0;
    }
    counts.latest = std::max(counts.latest, now);
}

// The count in a slot; 0 for one that is no longer kept or has not begun when the latest was counted.
std::int64_t count_in(const retry_counts& counts, const slot_counts& of, std::int64_t slot)
{
    if (slot < 0 || slot > counts.latest || slot <= counts.latest - retry_counts::slots_kept) {
        return 0;
    }
    return of[place_of(slot)];
}

std::int64_t sum_of(const retry_counts& counts, const slot_counts& of, std::int64_t first, std::int64_t last)
{
    std::int64_t sum = 0;
    for (std::int64_t slot = first; slot <= last; ++slot) {
        sum += count_in(counts, of, slot);
    }
    return sum;
}

// The least room over all windows that contain this moment, by the slot in which they begin. A window may
// begin at any time in its first slot: all retries of that slot count, and of the requests only those that
// are in the window wherever it begins there. `earned(first)` is the number of requests that count.
template <typename requests_by_first_slot>
double least_room(const retry_counts& counts, const window_allowance& allowance, std::int64_t now,
                  const requests_by_first_slot& earned)
{
    double least = std::numeric_limits<double>::infinity();
    std::int64_t retries = 0;
    for (std::int64_t first = now; first >= now - retry_counts::slots_per_window; --first) {
        retries += count_in(counts, counts.retries, first);
        const double allowed = allowance.slack + allowance.ratio * static_cast<double>(earned(first));
        least = std::min(least, allowed - static_cast<double>(retries));
    }
    return least;
}

std::int64_t requests_before(const retry_counts& counts, std::int64_t first)
{
    return sum_of(counts, counts.requests, first - retry_counts::slots_per_window + 1, first - 1);
}

std::int64_t requests_since(const retry_counts& counts, std::int64_t first)
{
    return sum_of(counts, counts.requests, first + 1, counts.latest);
}

} // namespace

void set_window(retry_counts& counts, milliseconds window, time_point now)
{
    const milliseconds slot{std::max<std::int64_t>(1, window.count / retry_counts::slots_per_window)};
    if (slot == counts.slot) {
        return;
    }
    const std::int64_t retries =
        sum_of(counts, counts.retries, counts.latest - retry_counts::slots_kept + 1, counts.latest);
    counts = {.slot = slot, .latest = now.count / slot.count};
    counts.retries[place_of(counts.latest)] = static_cast<std::int32_t>(retries);
}

void count_request(retry_counts& counts, time_point now)
{
    advance(counts, slot_at(counts, now));
    ++counts.requests[place_of(counts.latest)];
}

void count_retry(retry_counts& counts, time_point now)
{
    advance(counts, slot_at(counts, now));
    ++counts.retries[place_of(counts.latest)];
}

double room_after_window_before(const retry_counts& counts, const window_allowance& allowance,
                                time_point first_window_until, time_point now)
{
    return least_room(counts, allowance, slot_at(counts, now), [&](std::int64_t first) {
        return first < slot_at(counts, first_window_until) ? requests_since(counts, first)
                                                           : requests_before(counts, first);
    });
}

double room_within_window(const retry_counts& counts, const window_allowance& allowance, time_point now)
{
    return least_room(counts, allowance, slot_at(counts, now),
                      [&](std::int64_t first) { return requests_since(counts, first); });
}

std::int64_t requests_in_last_window(const retry_counts& counts, time_point now)
{
    const std::int64_t last = slot_at(counts, now);
    return sum_of(counts, counts.requests, last - retry_counts::slots_per_window + 1, last);
}

std::int64_t retries_in_last_window(const retry_counts& counts, time_point now)
{
    const std::int64_t last = slot_at(counts, now);
    return sum_of(counts, counts.retries, last - retry_counts::slots_per_window + 1, last);
}

} // namespace dandelionstep
