#pragma once

#include "common/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

namespace dandelionstep {

//! Which requests were answered whole lately, by their fingerprints; bounded.
struct recent_answers {
    //! An answer says nothing any more after this time.
    milliseconds remembered{60'000};
    std::size_t max_requests = 8'192;

    //! When each was answered last.
    std::unordered_map<std::int64_t, time_point> last;
    //! Answers in their order; those that a later one of the same request follows are passed over.
    std::deque<std::pair<std::int64_t, time_point>> order;
};

void note_answered(recent_answers& answers, std::int64_t fingerprint, time_point now);

bool was_answered(const recent_answers& answers, std::int64_t fingerprint, time_point now);

} // namespace dandelionstep
