#pragma once

#include "tool/operator_client.hpp"

namespace dandelionstep {

//! Asks the daemons in turn until one answers; a call that may have been executed is not repeated.
absl::StatusOr<operator_answer> call_any(const tool_options& options, const std::string& method,
                                         const std::string& path, const std::string& body);

//! The tool's exit status for a call; prints to standard error why one failed or was refused.
int report_call(const absl::StatusOr<operator_answer>& answer);

} // namespace dandelionstep
