#pragma once

#include "common/clock.hpp"

#include <cstdint>

namespace dandelionstep {

//! Bounds of a daemon's planned stop.
struct stop_limits {
    //! How long the balancer is given to see that the daemon takes no new requests.
    milliseconds balancer_notice{1000};
    //! Longest wait for requests to finish; what is left then is answered, named and cut off.
    milliseconds drain_limit{60'000};
    //! Time in which the last answers may still reach their callers.
    milliseconds flush_time{200};
};

//! What a stopping daemon still has to do.
struct remaining_work {
    std::int64_t requests_in_flight = 0;
    //! Answers of orders that the platform's table does not hold yet.
    std::int64_t unwritten_orders = 0;
    //! Answers of which callers have not received the last byte.
    std::int64_t unsent_answers = 0;
};

//! How far a planned stop has come.
struct stop_state {
    time_point began;
    //! Set once what was left has been given up.
    bool gave_up = false;
    time_point gave_up_at;
};

//! What a stopping daemon does next.
enum class stop_step {
    wait,
    give_up, //!< Answer and name what is left; comes once.
    exit,
};

//! Whether a request that takes `longest` at most, if it is let in now, ends before what is left is given up.
bool ends_in_time(const stop_state& state, const stop_limits& limits, milliseconds max_duration,
                  time_point now);

//! Advances the stop; `hurry` is an operator's second signal, which ends the wait at once.
stop_step advance(stop_state& state, const remaining_work& left, const stop_limits& limits, bool stop_now,
                  time_point now);

} // namespace dandelionstep
