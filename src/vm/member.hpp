#pragma once

#include "common/ids.hpp"
#include "target/endpoint.hpp"

namespace dandelionstep {

//! What a daemon believes of another one.
enum class member_state { alive, suspect, dead, left };

//! One daemon on its VM, as others know it.
struct member {
    vm_id vm;
    data_centre_id data_centre;
    endpoint peer_address;
    incarnation started;
    member_state state = member_state::alive;
};

} // namespace dandelionstep
