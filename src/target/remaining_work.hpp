#pragma once

#include "common/clock.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace dandelionstep {

//! A call that a target of a plain service runs.
struct call_work {
    time_point sent_at;
    double expected_ms = 0;

    friend bool operator==(const call_work&, const call_work&) = default;
};

//! Removes a call that has ended, if it is among them.
void end_call(std::vector<call_work>& calls, const std::optional<call_work>& ended);

//! Milliseconds that the calls are still expected to take, one after the other.
double remaining_ms(const std::vector<call_work>& calls, time_point now);

//! Expected length of an answer of which `arrived` tokens have come; `most` is its longest length, 0 if
//! unknown.
std::int64_t revised_answer_tokens(std::int64_t expected, std::int64_t arrived, std::int64_t most);

//! An engine's running requests as a new one will find them.
struct running_load {
    double running = 0;
    //! Tokens that they are still expected to generate; nullopt if unknown.
    std::optional<double> remaining_tokens;
    //! Running requests of engines of the same kind.
    double usual = 0;
};

//! Mean number of requests beside which a new one generates `answer_tokens` tokens.
double mean_running(const running_load& load, double answer_tokens);

} // namespace dandelionstep
