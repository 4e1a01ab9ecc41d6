#pragma once

#include "common/clock.hpp"
#include "common/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace dandelionstep {

//! A new stream that asks to be sent.
struct admission_request {
    //! Identifies it; a smaller one arrived earlier.
    std::uint64_t id = 0;
    //! 0 is the most urgent.
    int priority = 0;
    organisation_id organisation;
    time_point began{0};
    //! When its caller gives up a stream that has brought no event.
    time_point leaves_at{0};
    milliseconds latency_objective{0};
    milliseconds gap_objective{0};
    //! Its work relative to a request of mean length.
    double cost = 1;
    //! Not sent before this time for the sake of its objective alone, as an engine has just refused it.
    time_point not_due_before{0};
    //! Memory that it takes while it waits.
    std::size_t bytes = 0;
};

//! The path that a stream would take now.
struct admission_path {
    //! False if there is none; the other members mean nothing then.
    bool exists = false;
    //! Highest share in use of its engines' KV cache or entry slots, with the stream; may exceed 1.
    double use = 0;
    //! The part of `use` by which the stream needs more than one of mean length.
    double excess = 0;
    milliseconds first_event{0};
    milliseconds event_gap{0};
};

enum class admission_action : std::uint8_t {
    send,
    wait,
    refuse,
};

//! Why a stream is not sent at once.
enum class admission_reason : std::uint8_t {
    none,
    others_wait,         //!< Others go first.
    no_room,             //!< The path's use or its gap exceeds the limit.
    spread,              //!< There is room, which all daemons see at the same time.
    engine_refused,      //!< An engine had no room for it.
    no_capacity_in_time, //!< The expected wait outlasts the caller's patience.
    queue_full,          //!< Too many streams wait, or they take too much memory.
    half_objective,      //!< Sent whatever the use, as half of the latency objective has passed.
};

//! The reason as it stands in logs and metrics.
std::string_view name_of(admission_reason reason);

struct admission_decision {
    admission_action action = admission_action::send;
    admission_reason reason = admission_reason::none;
    //! Of a refusal: when a place in the queue is expected to have led to a send.
    milliseconds retry_after{0};
    //! The limit that the path's use and gap were held against; 0 if they were not.
    double limit = 0;
};

//! Bounds on what waits.
struct admission_bounds {
    std::size_t requests = 256;
    std::size_t bytes = std::size_t{8} * 1024 * 1024;
};

//! Decaying counts of one priority or one organisation.
struct admission_counts {
    double arrived = 0;
    double sent = 0;
    //! Work that arrived, in requests of mean length.
    double arrived_cost = 0;
    //! Work sent so far, as virtual time of weighted fair queueing; it does not decay.
    double served = 0;
};

//! Which new streams of one service wait, and what is known of its recent load.
struct stream_admission {
    std::vector<admission_request> waiting;
    std::size_t waiting_bytes = 0;
    std::map<int, admission_counts> priorities;
    std::map<organisation_id, admission_counts> organisations;
    time_point decayed_at{0};
    //! Virtual time of the organisation that was served last.
    double virtual_time = 0;
    //! Work that may be sent from the queue: what own streams that ended made free, plus a part of the room
    //! below the limit as time passes.
    double credit = 0;
    time_point credited_at{0};
    //! Work of own streams that run.
    double running = 0;
    //! Random part of the credit that the first one in the queue needs.
    double spread = 0;
    //! Time to the first event on the path that was planned last.
    milliseconds first_event{0};
};

//! Notes a new stream; once for each, before anything is decided for it.
void note_arrival(stream_admission& state, const admission_request& request, time_point now);

//! Whether a new stream waits behind others in any case, so that no path needs to be planned for it.
bool waits_behind_others(const stream_admission& state, const admission_request& request, time_point now);

//! Decides for a new stream that waits behind no other, with the path that it would take. `draw` is uniform
//! in [0, 1).
admission_decision decide_arrival(stream_admission& state, const admission_request& request,
                                  const admission_path& path, double draw, time_point now);

//! Whether a stream that can't be sent now should wait, and if not, when it should come back.
admission_decision decide_wait(const stream_admission& state, const admission_request& request,
                               admission_reason reason, time_point now);

//! When a stream that is refused now should come back.
milliseconds retry_after_for(const stream_admission& state, const admission_request& request, time_point now);

//! Adds a stream to the queue. Returns the one that has to leave it if that exceeds the bounds, which may be
//! the same.
std::optional<admission_request> enqueue(stream_admission& state, const admission_request& request,
                                         const admission_bounds& bounds);

//! Removes a stream from the queue; nullopt if it does not wait.
std::optional<admission_request> dequeue(stream_admission& state, std::uint64_t id);

//! The stream that is to be sent next; null if none waits. The pointer is valid until the queue changes.
const admission_request* first_waiting(const stream_admission& state, time_point now);

//! Decides for the first waiting stream with the path that it would take now.
admission_decision decide_first(stream_admission& state, const admission_request& request,
                                const admission_path& path, double draw, time_point now);

//! A waiting stream that is to be refused, and why.
struct admission_refusal {
    std::uint64_t id = 0;
    admission_decision decision;
};

//! The waiting streams for which the expected wait has become too long. They are still in the queue.
std::vector<admission_refusal> overdue(const stream_admission& state, time_point now);

//! When the next waiting stream is to be sent whatever the use, as half of its objective has passed then;
//! `never` if none is.
time_point next_due(const stream_admission& state);

//! Notes that a stream was sent, that one which was sent has ended, and that an engine refused one.
void note_sent(stream_admission& state, const admission_request& request, time_point now);
void note_ended(stream_admission& state, const admission_request& request);
void note_refused(stream_admission& state, const admission_request& request);

//! When the caller of a stream without an event gives up, by the route's objectives.
time_point leaving_time(time_point began, milliseconds latency_objective, milliseconds gap_objective);

} // namespace dandelionstep
