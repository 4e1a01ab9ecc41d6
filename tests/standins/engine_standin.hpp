#pragma once

#include "absl/status/status.h"
#include "target/endpoint.hpp"

#include <string>

namespace dandelionstep::standins {

//! How an engine's stand-in behaves.
struct engine_options {
    endpoint listen;
    std::string name = "engine";
    std::string model = "assistant";
    std::string version = "1";
    std::int64_t begin_layer = 0;
    std::int64_t end_layer = 1;
    //! Time of one batch.
    std::int64_t step_ms = 5;
    //! Sequences in one batch.
    std::int64_t max_batch = 16;
    //! Prompt tokens that take as long as one decoded token.
    std::int64_t prefill_tokens_per_step = 256;
    bool checks_fencing = false;
};

//! Runs an engine that holds a range of a fake model's layers and batches continuously.
//! Faults: die_at_step (counts down), die_on_text, slow_factor, late_ms, drop_streams, cross_answers,
//! double_tokens, refuse, refuse_leaving, leaving, cut (swallows every request without a word).
absl::Status run_engine(const engine_options& options);

} // namespace dandelionstep::standins
