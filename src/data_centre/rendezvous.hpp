#pragma once

#include "common/ids.hpp"

#include <cstddef>
#include <string_view>
#include <vector>

namespace dandelionstep {

//! The `count` VMs that rank first for the purpose by rendezvous hashing. Daemons that know the same VMs
//! choose the same ones, and a VM that comes or goes changes only its own place.
std::vector<vm_id> choose_by_rendezvous(const std::vector<vm_id>& candidates, std::string_view purpose,
                                        std::size_t count);

} // namespace dandelionstep
