#pragma once

#include "support/child_process.hpp"

#include <cstdint>
#include <fstream>
#include <string>

namespace dandelionstep::testing {

//! The most memory that the process has held so far, in KiB; -1 if it can't be read.
inline std::int64_t peak_memory_kb(const child_process& process)
{
    std::ifstream file("/proc/" + std::to_string(process.id()) + "/status");
    std::string word;
    std::int64_t kilobytes = 0;
    while (file >> word) {
        if (word == "VmHWM:" && file >> kilobytes) {
            return kilobytes;
        }
    }
    return -1;
}

} // namespace dandelionstep::testing
