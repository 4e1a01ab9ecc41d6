#pragma once

#include "common/clock.hpp"

namespace dandelionstep {

//! How far a stream has come on its present path.
struct stream_progress {
    //! When the request was last sent or its path last changed.
    time_point sent_at;
    //! When its last event came; before sent_at when none came since.
    time_point last_event_at{0};
    //! When its first engine was last asked what it waits for.
    time_point asked_at{0};
    //! Whether any event has come at all.
    bool has_events = false;
    //! Whether an engine of the path was found not to answer.
    bool has_dead_engine = false;
};

//! Silences that streams are allowed.
struct stall_limits {
    //! Before the first event.
    milliseconds first_event{500};
    //! Between events.
    milliseconds gap{250};
    //! Between two questions to the same engine.
    milliseconds ask_again{200};
    //! After which the stream is sent along another path in any case.
    milliseconds give_up{1'300};
};

//! What to do about a stream's silence.
enum class stall_step { wait, ask_engine, change_path, resume_elsewhere };

//! Judges a silence: asks the first engine which engine it waits for, changes the path at once when a dead
//! one is known, and gives the path up before the caller gives the stream up.
stall_step next_stall_step(const stream_progress& progress, const stall_limits& limits, time_point now);

} // namespace dandelionstep
