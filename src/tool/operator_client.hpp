#pragma once

#include "absl/status/statusor.h"
#include "common/json.hpp"
#include "tool/commands.hpp"

#include <string>

namespace dandelionstep {

//! A daemon's answer to an operator.
struct operator_answer {
    int status = 0;
    std::string outcome;
    json body;
    //! The body as it came.
    std::string text;
};

//! Calls one daemon and waits for its answer. Unavailable: it did not answer.
absl::StatusOr<operator_answer> call_daemon(const tool_options& options, const std::string& daemon,
                                            const std::string& method, const std::string& path,
                                            const std::string& body);

} // namespace dandelionstep
