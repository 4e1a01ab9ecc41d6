#pragma once

#include "common/ids.hpp"

#include <cstddef>
#include <string_view>
#include <vector>

namespace dandelionstep {

//! Chooses `count` VMs by rendezvous hashing of their names and the purpose. Daemons that know the same VMs
//! choose the same ones, and a VM that joins or leaves changes at most one of them.
std::vector<vm_id> choose_by_rendezvous(const std::vector<vm_id>& candidates, std::string_view purpose,
                                        std::size_t count);

} // namespace dandelionstep
