#include "vm/reader_search.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

// Of daemons that start together one offers itself within this time, and the others find its row.
constexpr double election_ms = 400;
// A vm that was a reader is back within about this time when its process starts anew.
constexpr double least_patience_ms = 400;
constexpr double drawn_patience_ms = 400;
constexpr double hurried_patience_ms = 300;
// Readers that do not answer are replaced after so many looks; vms that can carry less look once more.
constexpr int looks_before_reading = 2;
constexpr double much_hesitation = 2;
constexpr double ask_again_ms = 80;
constexpr double ask_starting_ms = 250;
constexpr milliseconds starting_patience{1'000};
constexpr double first_failure_ms = 300;
constexpr double longest_failure_ms = 1'000;
constexpr int most_doublings = 8;

milliseconds span(double ms)
{
    return {static_cast<std::int64_t>(ms)};
}

// Between one half and one and a half times the span.
milliseconds spread(double ms, double draw)
{
    return span(ms * (0.5 + draw));
}

milliseconds patience(const reader_search& search, double draw)
{
    return search.is_hurried ? span(hurried_patience_ms * draw)
                             : span(least_patience_ms + drawn_patience_ms * draw);
}

} // namespace

milliseconds first_look_pause(double hesitation, double draw)
{
    return span(election_ms * (hesitation - 1 + draw));
}

search_decision after_look(reader_search& search, const reader_look& seen, double hesitation, double draw,
                           time_point now)
{
    ++search.looks;
    search.was_reader = search.was_reader || seen.has_own_row;
    if (!seen.has_reader) {
        if (search.was_reader || search.looks >= looks_before_reading) {
            return {search_step::read, {0}};
        }
        const milliseconds pause =
            search.is_hurried ? patience(search, draw) : first_look_pause(hesitation, draw);
        return {search_step::look, pause};
    }
    const bool looks_once_more = hesitation >= much_hesitation && !search.is_hurried;
    if (search.looks > looks_before_reading + (looks_once_more ? 1 : 0)) {
        return {search_step::read, {0}};
    }
    search.patient_until = now + patience(search, draw);
    return {search_step::ask, {0}};
}

void note_starting(reader_search& search, time_point now)
{
    search.reader_is_starting = true;
    search.patient_until = now + starting_patience;
}

search_decision after_silence(const reader_search& search, double draw, time_point now)
{
    if (search.reader_is_starting && now < search.patient_until) {
        return {search_step::ask, spread(ask_starting_ms, draw)};
    }
    if (search.was_reader) {
        return {search_step::read, {0}};
    }
    if (now < search.patient_until) {
        return {search_step::ask, spread(ask_again_ms, draw)};
    }
    return {search_step::look, {0}};
}

milliseconds failed_look_pause(int failures, double draw)
{
    const int doublings = std::clamp(failures - 1, 0, most_doublings);
    const double doubled = first_failure_ms * static_cast<double>(1 << doublings);
    return spread(std::min(doubled, longest_failure_ms), draw);
}

} // namespace dandelionstep
