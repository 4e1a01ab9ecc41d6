#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dandelionstep {

//! The maximum size of one event in bytes.
inline constexpr std::size_t max_event_bytes = std::size_t{64} * 1024;

//! Splits a text/event-stream body into complete events and keeps the incomplete one at its end.
struct event_splitter {
    //! The bytes after the last complete event.
    std::string pending;
    //! The length of the prefix of `pending` that was already searched for the end of an event.
    std::size_t searched = 0;
    //! Whether the incomplete event exceeds max_event_bytes; the stream cannot be read any further.
    bool is_overlong = false;
    //! Whether the body must consist of events only, because the response head declares an event stream.
    bool events_only = false;
    //! Whether each event must have an id, because the stream that it continues has ids.
    bool needs_ids = false;
    //! Whether the body contained something other than an event of the stream, for example the text of an
    //! error; the stream cannot be read any further.
    bool is_malformed = false;
    //! The id of the last complete event that had one.
    std::optional<std::int64_t> last_id;
    //! Whether an event other than a comment was returned, of this body or of one that it continues.
    bool has_events = false;
    //! The number of events other than comments that were returned.
    std::int64_t returned_events = 0;
    //! The comments of an event stream ahead of its first event, which are returned together with it.
    std::string leading_comments;
};

//! Adds bytes and returns all events that are complete now, byte for byte as received. Omits events whose id
//! is not greater than last_id. After invalid data it returns nothing more. Holds back comments ahead of the
//! first event up to max_event_bytes.
std::string take_events(event_splitter& splitter, std::string_view bytes);

//! Whether the pending bytes may be the beginning of an event.
bool may_be_partial_event(const event_splitter& splitter);

//! Whether the pending bytes hold a line of an event: more than line ends and comments.
bool is_inside_event(const event_splitter& splitter);

//! Discards the incomplete event, its error flags and comments that were held back, for a stream that is
//! requested again.
void discard_partial_event(event_splitter& splitter);

//! The id of one event; nullopt when it has no numeric id.
std::optional<std::int64_t> event_id(std::string_view event);

} // namespace dandelionstep
