#pragma once

#include "request/segment_suspects.hpp"

#include <optional>

namespace dandelionstep {

//! How long a request has waited for the verdict on the segments of its prompt.
struct segment_wait {
    std::optional<time_point> began;
};

enum class segment_action { send, wait, give_up };

//! What a request does now.
struct segment_decision {
    segment_action action = segment_action::send;
    //! How long it waits, or after what time its caller should come back.
    milliseconds span{0};
};

//! A request waits for at most `longest`: a verdict in its favour usually comes sooner than the time that is
//! known to remain.
segment_decision decide(segment_wait& wait, const segment_verdict& verdict, milliseconds longest,
                        time_point now);

} // namespace dandelionstep
