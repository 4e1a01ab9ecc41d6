#pragma once

#include "common/clock.hpp"

#include <cstdint>
#include <string>

namespace dandelionstep {

//! Notices that the settings file has changed, which may happen without a signal.
class settings_watch {
public:
    explicit settings_watch(std::string path_in) : path(std::move(path_in)) {}

    //! Whether the file's text is another one than at the last look; looks once a second.
    bool has_changed(time_point now);

private:
    std::string path;
    time_point looked_at{0};
    std::uint64_t hash = 0;
};

} // namespace dandelionstep
