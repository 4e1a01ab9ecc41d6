#include "vm/reader_search.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

// Of daemons that start together, one offers itself within this time, and the others find its row.
constexpr double election_time_ms = 400;
// A reader whose process restarts answers again within about this time.
constexpr double min_retry_time_ms = 400;
constexpr double random_retry_time_ms = 400;
constexpr double urgent_retry_time_ms = 300;
// A daemon replaces readers that do not answer after it has read the rows this often. A VM with little
// capacity reads them once more.
constexpr int looks_before_reading = 2;
constexpr double large_delay_factor = 2;
constexpr double ask_again_pause_ms = 80;
constexpr double ask_starting_pause_ms = 250;
constexpr milliseconds starting_retry_time{1'000};
constexpr double first_failure_pause_ms = 300;
constexpr double max_failure_pause_ms = 1'000;
constexpr int max_doublings = 8;

milliseconds to_milliseconds(double ms)
{
    return {static_cast<std::int64_t>(ms)};
}

// A random time between one half and one and a half of `ms`.
milliseconds jittered(double ms, double draw)
{
    return to_milliseconds(ms * (0.5 + draw));
}

milliseconds retry_time(const reader_search& search, double draw)
{
    return search.is_urgent ? to_milliseconds(urgent_retry_time_ms * draw)
                            : to_milliseconds(min_retry_time_ms + random_retry_time_ms * draw);
}

} // namespace

milliseconds first_look_pause(double election_delay_factor, double draw)
{
    return to_milliseconds(election_time_ms * (election_delay_factor - 1 + draw));
}

search_decision after_look(reader_search& search, const reader_look& seen, double election_delay_factor,
                           double draw, time_point now)
{
    ++search.looks;
    search.was_reader = search.was_reader || seen.has_own_row;
    if (!seen.has_reader) {
        if (search.was_reader || search.looks >= looks_before_reading) {
            return {search_step::read, {0}};
        }
        const milliseconds pause =
            search.is_urgent ? retry_time(search, draw) : first_look_pause(election_delay_factor, draw);
        return {search_step::look, pause};
    }
    const bool looks_once_more = election_delay_factor >= large_delay_factor && !search.is_urgent;
    if (search.looks > looks_before_reading + (looks_once_more ? 1 : 0)) {
        return {search_step::read, {0}};
    }
    search.retry_until = now + retry_time(search, draw);
    return {search_step::ask, {0}};
}

void note_reader_starting(reader_search& search, time_point now)
{
    search.reader_is_starting = true;
    search.retry_until = now + starting_retry_time;
}

search_decision after_no_answer(const reader_search& search, double draw, time_point now)
{
    if (search.reader_is_starting && now < search.retry_until) {
        return {search_step::ask, jittered(ask_starting_pause_ms, draw)};
    }
    if (search.was_reader) {
        return {search_step::read, {0}};
    }
    if (now < search.retry_until) {
        return {search_step::ask, jittered(ask_again_pause_ms, draw)};
    }
    return {search_step::look, {0}};
}

milliseconds failed_look_pause(int failures, double draw)
{
    const int doublings = std::clamp(failures - 1, 0, max_doublings);
    const double doubled = first_failure_pause_ms * static_cast<double>(1 << doublings);
    return jittered(std::min(doubled, max_failure_pause_ms), draw);
}

} // namespace dandelionstep
