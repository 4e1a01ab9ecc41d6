#pragma once

#include "common/ids.hpp"
#include "target/endpoint.hpp"

#include <array>
#include <string_view>

namespace dandelionstep {

//! What a daemon believes of another one.
enum class member_state { alive, suspect, dead, left };

//! The state's name in answers to operators.
constexpr std::string_view to_string(member_state state)
{
    constexpr std::array<std::string_view, 4> names{"alive", "suspect", "dead", "left"};
    const auto index = static_cast<std::size_t>(state);
    return index < names.size() ? names[index] : "unknown";
}

//! One daemon on its VM, as others know it.
struct member {
    vm_id vm;
    data_centre_id data_centre;
    endpoint peer_address;
    //! Where operators ask it; port 0 when it is not known.
    endpoint operator_address;
    incarnation started;
    member_state state = member_state::alive;
};

} // namespace dandelionstep
