#pragma once

#include "tool/operator_client.hpp"

namespace dandelionstep {

//! Asks the daemons in turn until one answers; a call that may have been executed is not repeated.
absl::StatusOr<operator_answer> call_any(const tool_options& options, const std::string& method,
                                         const std::string& path, const std::string& body);

//! The tool's exit status for a call that got no answer.
int exit_for(const absl::Status& status);

//! The tool's exit status for an answer.
int exit_for(const operator_answer& answer);

//! Prints the code and message of an error answer to standard error.
void print_error(const operator_answer& answer);

} // namespace dandelionstep
