#pragma once

#include "absl/status/statusor.h"
#include "common/clock.hpp"
#include "common/json_types.hpp"

namespace dandelionstep {

//! What a model or service promises to its callers.
struct service_level {
    //! Share of requests that must be good.
    double target = 0.95;
    //! A good answer of a model has its first token within this time.
    milliseconds first_token{1900};
    //! A good answer of a model has no more than this between tokens, on average.
    milliseconds token_gap{65};
    //! A good answer of a plain service is whole within this time.
    milliseconds call{1000};
};

//! Reads the optional member "service_level" of a model's or service's record.
//! InvalidArgument: a member is out of range.
absl::StatusOr<service_level> parse_service_level(const json& body);

//! How long one answer took.
struct answer_timing {
    //! Until the first token; for plain services until the whole answer.
    milliseconds first;
    milliseconds whole;
    std::int64_t tokens = 0;
};

//! Whether a completed answer of a model kept the service level.
bool is_good_generation(const service_level& level, const answer_timing& timing);

//! Whether a completed answer of a plain service kept the service level.
bool is_good_call(const service_level& level, const answer_timing& timing);

} // namespace dandelionstep
