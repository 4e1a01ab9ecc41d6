#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dandelionstep {

//! Whole events of a text/event-stream body, and the rest that is not whole yet.
struct event_splitter {
    std::string pending;
    //! Id of the last whole event that was taken.
    std::optional<std::int64_t> last_id;
};

//! Adds bytes and returns all whole events that are now complete, as they were received. Events whose id is
//! not above the last one are left out.
std::string take_events(event_splitter& splitter, std::string_view bytes);

//! The id of one event; nullopt when it has none.
std::optional<std::int64_t> event_id(std::string_view event);

} // namespace dandelionstep
