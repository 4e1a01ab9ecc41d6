#pragma once

#include "report/log_line.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace dandelionstep {

//! What the logs tell of one request.
struct explanation {
    //! Lines about the request itself, about the targets that it met and about what its daemons believed, by
    //! time.
    std::vector<log_line> lines;
    //! What became of the request and why, in one sentence for each finding.
    std::vector<std::string> findings;
};

//! Collects what the lines of all daemons tell of the request with this id.
explanation explain_request(const std::vector<log_line>& lines, std::string_view id);

//! The explanation for a person: findings first, then the lines with their time before or after the first
//! one.
std::string to_text(const explanation& explained);

} // namespace dandelionstep
