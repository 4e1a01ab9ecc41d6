#pragma once

#include "common/clock.hpp"
#include "request/request_fingerprint.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <utility>

namespace dandelionstep {

//! Which requests were answered whole lately; bounded.
struct recent_answers {
    //! An answer says nothing any more after this time.
    milliseconds retention{60'000};
    std::size_t max_requests = 8'192;

    //! When each was answered last.
    std::map<request_fingerprint, time_point> last;
    //! Answers in their order; those that a later one of the same request follows are passed over.
    std::deque<std::pair<request_fingerprint, time_point>> order;
};

void note_answered(recent_answers& answers, request_fingerprint request, time_point now);

bool was_answered(const recent_answers& answers, request_fingerprint request, time_point now);

} // namespace dandelionstep
