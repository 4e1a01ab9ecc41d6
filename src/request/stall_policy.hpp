#pragma once

#include "common/clock.hpp"

namespace dandelionstep {

//! The progress of a stream on its current path.
struct stream_progress {
    //! The time when the request was last sent or its path last changed.
    time_point sent_at{0};
    //! The time of its last event; earlier than sent_at when none has arrived since.
    time_point last_event_at{0};
    //! The time when its first engine was last asked which engine it waits for.
    time_point asked_at{0};
    //! Whether any event has arrived, on this path or an earlier one.
    bool has_events = false;
    //! Whether an engine of the path was found unresponsive.
    bool has_dead_engine = false;
};

//! How long a stream may go without an event before each reaction, measured from its last event or, if that
//! is later, from sent_at.
struct stall_limits {
    //! Time without a first event after which the engines of the path are probed for liveness.
    milliseconds first_probe{200};
    //! Time since the last event after which they are probed.
    milliseconds probe{100};
    //! Time since the last event after which the path is changed if one of its engines is known to be dead.
    milliseconds missed_event{100};
    //! Time without a first event after which the first engine is asked which engine it waits for.
    milliseconds first_event{500};
    //! Time since the last event after which it is asked.
    milliseconds gap{250};
    //! The shortest time between two such queries to the first engine.
    milliseconds ask_interval{200};
    //! Time since the last event after which the stream is resumed along another path in any case.
    milliseconds give_up{1'300};
};

//! The limits of a stream on a route with these objectives whose events usually arrive `usual_gap` apart.
//! Probes start early enough for another path to deliver the next event in time.
stall_limits stall_limits_for(milliseconds latency_objective, milliseconds gap_objective,
                              milliseconds usual_gap);

//! The reaction to a stream that delivers no events.
enum class stall_action { wait, probe_path, ask_engine, change_path, resume_elsewhere };

//! Decides what to do about a stalled stream: first probes the engines of the path for liveness, then asks
//! the first engine which engine it waits for. Changes the path without further probes when one of its
//! engines is known to be dead, and abandons the path before the caller would abandon the stream.
stall_action next_stall_action(const stream_progress& progress, const stall_limits& limits, time_point now);

} // namespace dandelionstep
