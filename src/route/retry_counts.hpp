#pragma once

#include "common/clock.hpp"

#include <array>
#include <cstdint>

namespace dandelionstep {

//! A service's requests and retries at one daemon, counted in slots of time over the last two windows.
struct retry_counts {
    static constexpr std::int64_t slots_per_window = 20;
    static constexpr std::int64_t slots_kept = 2 * slots_per_window;

    //! Length of a slot.
    milliseconds slot{500};
    //! Number of the latest slot.
    std::int64_t latest = 0;
    //! By the slot's number, modulo the slots that are kept.
    std::array<std::int32_t, slots_kept> requests{};
    std::array<std::int32_t, slots_kept> retries{};
};

//! What a daemon may use in a window.
struct window_allowance {
    //! Retries for each request.
    double ratio = 0;
    //! Retries besides.
    double slack = 0;
};

//! Sets the length of a window. If it changes, the requests counted so far no longer allow retries.
void set_window(retry_counts& counts, milliseconds window, time_point now);

//! Counts one more request or retry now.
void count_request(retry_counts& counts, time_point now);
void count_retry(retry_counts& counts, time_point now);

//! How many more retries fit now into each window that contains this moment, if the requests of the window
//! before allow them; in windows that began before `first_window_until`, the window's own requests.
double room_after_window_before(const retry_counts& counts, const window_allowance& allowance,
                                time_point first_window_until, time_point now);

//! The same if a window's own requests up to now allow them.
double room_within_window(const retry_counts& counts, const window_allowance& allowance, time_point now);

//! The requests and retries of the last window.
std::int64_t requests_in_last_window(const retry_counts& counts, time_point now);
std::int64_t retries_in_last_window(const retry_counts& counts, time_point now);

} // namespace dandelionstep
