#pragma once

#include "route/entry_config.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace dandelionstep {

//! Whether a daemon schedules requests by priority, cost and the engines' remaining work.
enum class load_control_mode : std::uint8_t {
    automatic, //!< Where the configuration calls for it.
    on,
    off,
};

//! The mode with this name: auto, on or off; nullopt for any other name.
std::optional<load_control_mode> parse_load_control_mode(std::string_view name);

//! Whether the configuration calls for load control: streams of different priority compete for the engines of
//! one service.
bool needs_load_control(const entry_config& config);

} // namespace dandelionstep
