#pragma once

#include "common/clock.hpp"

#include <string>
#include <string_view>

namespace dandelionstep {

//! What became of a request, as its caller is told.
enum class outcome {
    completed, //!< Answered whole.
    not_run,   //!< No target ran any part of it.
    unknown,   //!< A target may have run it, in whole or in part.
};

//! The outcome's name in headers, logs and metrics.
std::string_view to_string(outcome value);

class execution_tracker;

//! An outcome that only `execution_tracker` can make, so that `not_run` is never said of a request that may
//! have run.
class proven_outcome {
public:
    //! Implicit, so that it is read like the outcome that it holds.
    operator outcome() const { return this->value; } // NOLINT(google-explicit-constructor)

private:
    friend class execution_tracker;
    explicit proven_outcome(outcome value) : value(value) {}

    outcome value;
};

//! Why a request was answered with an error; each has one stable code.
enum class error_code {
    bad_request,
    body_too_large,
    unauthorised,
    unknown_route,
    key_required,
    key_reused,
    conflict,
    overloaded,
    no_capacity,
    stopping,
    not_ready,
    store_unavailable,
    deadline_exceeded,
    target_failed,
    unsettled,
    suspected_crasher,
    answer_not_kept,
    settled_by_operator,
};

//! The stable code in error bodies, for example "no_capacity".
std::string_view to_string(error_code code);

//! The HTTP status that carries the code.
int http_status(error_code code);

//! Whether the code blames the caller's own request rather than the system.
bool is_callers_fault(error_code code);

//! An answer that says why a request was not served; made by `execution_tracker::refuse`.
struct refusal {
    proven_outcome result;
    error_code code = error_code::bad_request;
    std::string message;
    //! When to come back; zero where repeating the request can't help.
    milliseconds retry_after{0};
};

} // namespace dandelionstep
