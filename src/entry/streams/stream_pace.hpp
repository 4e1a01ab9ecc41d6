#pragma once

#include "entry/context/entry_context.hpp"

namespace dandelionstep {

//! How a stream goes for its caller.
struct stream_pace {
    //! From the request's first byte to its first event, and the longest silence between two events.
    milliseconds first_after{0};
    milliseconds longest_gap{0};
    //! Mean silence between its latest events; 0 before the second one.
    double mean_gap_ms = 0;
};

//! Notes an event that is passed on; `last` is when the one before was, if any.
void note_event(entry_context& context, stream_pace& pace, time_point began, std::optional<time_point> last,
                time_point now);

//! Whether the caller had to wait longer than the route's objectives allow.
bool is_late(const stream_pace& pace, const entry_route& route);

} // namespace dandelionstep
