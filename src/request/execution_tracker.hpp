#pragma once

#include "common/outcome.hpp"

#include <string>

namespace dandelionstep {

//! Whether any target may have run part of a request; the only source of refusals.
//! A refusal says `not_run` exactly while nothing may have run.
class execution_tracker {
public:
    //! To be called before the first byte of an attempt may leave.
    void begin_send() { ++this->possible_executions; }

    //! To be called when the attempt is proven not to have run: no byte left, or the target's contract says
    //! so.
    void prove_not_run() { this->possible_executions -= this->possible_executions > 0 ? 1 : 0; }

    [[nodiscard]] bool may_have_run() const { return this->possible_executions > 0; }

    //! The refusal with the outcome that is true now.
    [[nodiscard]] refusal refuse(error_code code, std::string message, milliseconds retry_after) const
    {
        const outcome result = this->may_have_run() ? outcome::unknown : outcome::not_run;
        return {proven_outcome(result), code, std::move(message), retry_after};
    }

private:
    int possible_executions = 0;
};

} // namespace dandelionstep
