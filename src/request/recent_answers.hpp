#pragma once

#include "common/clock.hpp"
#include "request/request_fingerprint.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <utility>

namespace dandelionstep {

//! Remembers which requests were answered completely in the recent past; the number is bounded.
struct recent_answers {
    //! An answer counts as recent for this time.
    milliseconds retention{60'000};
    std::size_t max_requests = 8'192;

    //! The time of the last noted answer to each request.
    std::map<request_fingerprint, time_point> last;
    //! The noted answers in order of time. An entry is stale when `last` has a later time for its request.
    std::deque<std::pair<request_fingerprint, time_point>> order;
};

//! Notes that the request was answered completely.
void note_answered(recent_answers& answers, request_fingerprint request, time_point now);

//! Whether the request was answered completely within the retention time.
bool was_answered(const recent_answers& answers, request_fingerprint request, time_point now);

} // namespace dandelionstep
