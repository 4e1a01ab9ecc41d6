#pragma once

#include "adapters/http_client.hpp"
#include "common/clock.hpp"
#include "common/ids.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace dandelionstep {

//! One VM as the platform lists it.
struct listed_vm {
    std::string name;
    //! IP address and port of what runs there; empty when the platform does not name it.
    std::string address;
    bool leaving = false;
    std::optional<incarnation> started;
};

//! The platform's list of VMs, which lags.
struct vm_list {
    std::vector<listed_vm> vms;
    //! How long ago the list was true.
    milliseconds age{0};
};

//! Reads the platform's list of VMs; nullopt when it did not answer.
void read_vm_list(http_client& http, const endpoint& platform, milliseconds timeout,
                  std::function<void(const std::optional<vm_list>&)> done);

} // namespace dandelionstep
