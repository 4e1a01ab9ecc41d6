#pragma once

#include "common/clock.hpp"

namespace dandelionstep {

//! How far a stream has come on its present path.
struct stream_progress {
    //! When the request was last sent or its path last changed.
    time_point sent_at{0};
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
    //! Before the first event, until the engines of the path are asked whether they live.
    milliseconds first_probe{200};
    //! Between events, until they are.
    milliseconds probe{100};
    //! Between events, until the path is changed when one of its engines is known to be dead.
    milliseconds missed_event{100};
    //! Before the first event, until the first engine is asked what it waits for.
    milliseconds first_event{500};
    //! Between events, until it is.
    milliseconds gap{250};
    //! Between two questions to the same engine.
    milliseconds ask_interval{200};
    //! After which the stream is sent along another path in any case.
    milliseconds give_up{1'300};
};

//! The limits of a stream on a route with these objectives, where events usually follow each other after
//! `usual_gap`. A silence is looked into so early that another path can still bring the next event in time.
stall_limits stall_limits_for(milliseconds latency_objective, milliseconds gap_objective,
                              milliseconds usual_gap);

//! What to do about a stream's silence.
enum class stall_action { wait, probe_path, ask_engine, change_path, resume_elsewhere };

//! Judges a silence: asks the path's engines whether they live, then the first one which engine it waits for;
//! changes the path at once when a dead one is known, and gives the path up before the caller gives the
//! stream up.
stall_action next_stall_action(const stream_progress& progress, const stall_limits& limits, time_point now);

} // namespace dandelionstep
