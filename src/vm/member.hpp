#pragma once

#include "common/ids.hpp"
#include "target/endpoint.hpp"

#include <cstdint>
#include <string_view>

namespace dandelionstep {

//! What a daemon believes of another one.
enum class member_state { alive, suspect, dead, left };

//! The state's name in logs and reports.
std::string_view to_string(member_state state);

//! One daemon on its VM, as others know it.
struct member {
    vm_id vm;
    data_centre_id data_centre;
    endpoint peer_address;
    incarnation started;
    member_state state = member_state::alive;
    //! The newest schema version of records that it reads.
    std::int64_t newest_schema_version = 1;
};

} // namespace dandelionstep
