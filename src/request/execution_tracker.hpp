#pragma once

#include "common/outcome.hpp"

#include <string>

namespace dandelionstep {

//! Tracks whether any target may have run part of a request. Only this class creates refusals, and their
//! outcome is `not_run` exactly while no attempt may have run.
class execution_tracker {
public:
    //! Must be called before the first byte of an attempt can be sent.
    void begin_send() { ++this->possible_executions; }

    //! Must be called once an attempt is proven not to have run: no byte of it was sent, or the target's
    //! contract guarantees it.
    void prove_not_run() { this->possible_executions -= this->possible_executions > 0 ? 1 : 0; }

    [[nodiscard]] bool may_have_run() const { return this->possible_executions > 0; }

    //! A refusal with the outcome that currently holds.
    [[nodiscard]] refusal refuse(error_code code, std::string message, milliseconds retry_after) const
    {
        const outcome result = this->may_have_run() ? outcome::unknown : outcome::not_run;
        return {proven_outcome(result), code, std::move(message), retry_after};
    }

private:
    int possible_executions = 0;
};

} // namespace dandelionstep
