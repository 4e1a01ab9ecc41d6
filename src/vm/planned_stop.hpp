#pragma once

#include "common/clock.hpp"

#include <cstdint>

namespace dandelionstep {

//! Time limits of a daemon's planned stop.
struct stop_limits {
    //! How long the load balancer has to notice that the daemon takes no new requests.
    milliseconds balancer_notice{1000};
    //! Longest wait for requests to finish. Requests that are left then are answered, logged and cut off.
    milliseconds drain_limit{60'000};
    //! How long the last answers may take after that to reach their callers.
    milliseconds flush_time{200};
    //! How long a stop waits, beside other work, for a peer to hear of it.
    milliseconds peer_notice{3'000};
};

//! Work that a stopping daemon still has to finish.
struct remaining_work {
    std::int64_t requests_in_flight = 0;
    //! Answers to orders that have not been written to the platform's table yet.
    std::int64_t unwritten_orders = 0;
    //! Answers whose last byte has not reached the caller yet.
    std::int64_t unsent_answers = 0;
    //! Notices of the stop that no peer that stays has heard yet.
    std::int64_t unheard_notices = 0;
};

//! Progress of a planned stop.
struct stop_state {
    time_point began;
    //! Whether the remaining work has been given up.
    bool gave_up = false;
    time_point gave_up_at;
};

//! What a stopping daemon does next.
enum class stop_step {
    wait,
    give_up, //!< Answer, log and cut off what is left; returned once.
    exit,
};

//! Whether a request that is admitted now and takes at most `max_duration` ends before the remaining work is
//! given up.
bool ends_in_time(const stop_state& state, const stop_limits& limits, milliseconds max_duration,
                  time_point now);

//! Advances the stop; `stop_now` stands for an operator's second signal, which ends the wait at once.
stop_step advance(stop_state& state, const remaining_work& left, const stop_limits& limits, bool stop_now,
                  time_point now);

} // namespace dandelionstep
