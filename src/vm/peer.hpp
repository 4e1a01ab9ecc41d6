#pragma once

#include "common/ids.hpp"
#include "target/endpoint.hpp"

namespace dandelionstep {

//! A daemon of the same data centre, and the address at which it answers other daemons.
struct peer {
    vm_id vm;
    endpoint at;

    friend bool operator==(const peer&, const peer&) = default;
};

} // namespace dandelionstep
