#pragma once

#include "common/clock.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dandelionstep {

//! One line of a daemon's log.
struct log_line {
    //! By the writer's civil clock.
    wall_time at;
    std::string vm;
    std::string event;
    //! The other fields, in the order in which they were written.
    std::vector<std::pair<std::string, std::string>> fields;

    //! The field's value; empty when it is absent.
    [[nodiscard]] std::string field(std::string_view name) const;
};

//! Reads a line of key=value pairs; what stands before the first known key is left out. Nullopt for a line
//! that names no time or event.
std::optional<log_line> parse_log_line(std::string_view text);

} // namespace dandelionstep
