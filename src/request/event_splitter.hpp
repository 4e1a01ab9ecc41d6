#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dandelionstep {

//! Most bytes of one event.
inline constexpr std::size_t max_event_bytes = std::size_t{64} * 1024;

//! Whole events of a text/event-stream body, and the rest that is not whole yet.
struct event_splitter {
    std::string pending;
    //! Bytes of `pending` in which no event ends.
    std::size_t searched = 0;
    //! Whether the event that has begun is longer than any event may be; the stream can't be read on.
    bool is_overlong = false;
    //! Whether all that comes must be events, as the head says that it is a stream of them.
    bool events_only = false;
    //! Whether each event must have an id, as the stream that it goes on with has them.
    bool needs_ids = false;
    //! Whether something came that is no event of the stream, as an error's text; the stream can't be read
    //! on.
    bool is_malformed = false;
    //! Id of the last whole event that was taken.
    std::optional<std::int64_t> last_id;
};

//! Adds bytes and returns all whole events that are now complete, as they were received. Events whose id is
//! not above the last one are left out, and nothing is taken from what is no event on.
std::string take_events(event_splitter& splitter, std::string_view bytes);

//! Whether the rest may be the beginning of an event.
bool may_be_partial_event(const event_splitter& splitter);

//! Forgets the event that has begun, for a stream that is sent anew.
void discard_partial_event(event_splitter& splitter);

//! The id of one event; nullopt when it has none.
std::optional<std::int64_t> event_id(std::string_view event);

} // namespace dandelionstep
