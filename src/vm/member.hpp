#pragma once

#include "common/ids.hpp"
#include "target/endpoint.hpp"

#include <array>
#include <cstdint>
#include <string_view>

namespace dandelionstep {

//! A daemon's view of another one. For the same incarnation, a later state in this list supersedes an earlier
//! one.
enum class member_state { alive, suspect, dead, left };

//! The state's name in responses to operators and in log events.
constexpr std::string_view to_string(member_state state)
{
    constexpr std::array<std::string_view, 4> names{"alive", "suspect", "dead", "left"};
    const auto index = static_cast<std::size_t>(state);
    return index < names.size() ? names[index] : "unknown";
}

//! One daemon, as the other daemons know it.
struct member {
    vm_id vm;
    data_centre_id data_centre;
    endpoint peer_address;
    //! Address of its port for operators; the port is 0 if the address is not known.
    endpoint operator_address;
    //! Its incarnation number: the time of its start, raised when it refutes an update about itself.
    incarnation started;
    member_state state = member_state::alive;
    //! The newest schema version of records that it can read.
    std::int64_t newest_schema_version = 1;
};

} // namespace dandelionstep
