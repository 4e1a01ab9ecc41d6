#pragma once

#include "common/clock.hpp"
#include "common/ids.hpp"
#include "target/engine_use.hpp"

#include <cstdint>
#include <map>

namespace dandelionstep {

//! What one daemon has itself experienced with a target.
struct target_condition {
    //! Requests of this daemon that are on the target now.
    std::int64_t in_flight = 0;
    //! Those of them that enter their path there.
    std::int64_t entered = 0;
    //! Tokens times layers that they need at the end.
    double token_layers = 0;
    //! Tokens of prompts times layers that this daemon lately gave it to read in a millisecond, and when.
    double prefill_load = 0;
    time_point prefill_noted_at{0};
    //! Mean time to a response, as of the last one, and when that came. 0: it has not answered yet.
    double mean_response_ms = 0;
    time_point responded_at{0};
    //! Share of lately sent requests that failed, 0 to 1.
    double failure_rate = 0;
    std::int64_t consecutive_failures = 0;
    //! Connections in a row that could not be made.
    std::int64_t consecutive_connect_failures = 0;
    //! Until when the last request that was sent to it stands for others, if it can't be reached.
    time_point trial_until{0};
    //! Refusals since it last answered a request.
    std::int64_t consecutive_refusals = 0;
    //! Factor on its estimated load, at least 1; grows with each refusal and falls again.
    double load_correction = 1;
    time_point load_correction_set_at{0};
    //! Not used before this time, unless nothing else is left.
    time_point avoid_until{0};
    //! Nothing is sent to it before this time, as it asked for that.
    time_point backoff_until{0};
    //! After a rest, requests that it is given at the same time; doubled with each answer. 0: as many as
    //! come.
    std::int64_t slow_start_limit = 0;
    //! The last load that it reported, and when.
    std::int64_t reported_load = 0;
    time_point load_reported_at{0};
    //! An engine's last report: factor on its times, share of its memory for requests in use, and when.
    double reported_slowdown = 1;
    double reported_kv_cache_usage = 0;
    time_point reported_at{0};
    time_point failure_rate_updated_at{0};
    //! When it was last asked what its requests wait for.
    time_point asked_at{0};
    //! When it was last asked whether it lives.
    time_point probed_at{0};
    //! Until it may be asked that again.
    milliseconds probe_interval{0};
    //! Whether it did not answer when it was asked; out of use until it does.
    bool is_unresponsive = false;
    time_point unresponsive_since{0};
};

//! Conditions of all targets, by id.
using target_conditions = std::map<target_id, target_condition>;

//! The target's condition; that of a new one when nothing is known of it yet.
const target_condition& condition_of(const target_conditions& conditions, const target_id& id);

//! What this daemon's requests take of the engine.
engine_use current_use(const target_condition& condition, time_point now);

//! Why a target gave no usable response.
enum class target_failure {
    unreachable, //!< No connection could be made.
    broken,      //!< The connection ended without a whole response.
    silent,      //!< Nothing came in time.
    faulty,      //!< The response was not one of its own, or an error.
};

//! Notes that a request is sent to it.
void note_sent(target_condition& condition, time_point now);

//! Notes that it answered, whatever it said: it can be reached.
void note_reached(target_condition& condition);

//! Notes a response after `took`.
void note_response(target_condition& condition, milliseconds took, time_point now);

//! The time to a response that is expected now. What it took long ago says less and less: the expectation
//! comes near to `usual_ms`, that of the others, if it was longer.
double expected_response_ms(const target_condition& condition, double usual_ms, time_point now);

//! Notes a failure; repeated ones keep the target out of use for longer, up to a few seconds.
void note_failure(target_condition& condition, target_failure failure, time_point now);

//! Notes that the target refused, for want of room or because it leaves; it is left alone for `pause`, and
//! for longer each time that it refuses again.
void note_refusal(target_condition& condition, milliseconds pause, time_point now);

//! How rests are taken.
struct backoff_limits {
    //! No target is left alone for longer, whatever it says.
    milliseconds longest{60'000};
    //! Rests end later by up to this share, so that a target does not meet all daemons in one instant.
    double spread = 0.2;
};

//! Notes that it wants no request for `rest`. `draw`, uniform in [0, 1), spreads the end.
void note_backoff(target_condition& condition, milliseconds rest, const backoff_limits& limits, double draw,
                  time_point now);

//! Notes that it wants no request before `until`.
void resume_backoff(target_condition& condition, time_point until);

//! Whether it wants no requests now.
bool is_backing_off(const target_condition& condition, time_point now);

//! Whether it may be given one more beside `present`: after a rest it starts slowly.
bool is_below_slow_start_limit(const target_condition& condition, std::int64_t present);

//! Notes the load that a response told.
void note_load(target_condition& condition, std::int64_t load, time_point now);

//! Notes that it did not answer a direct question.
void note_unresponsive(target_condition& condition, time_point now);

//! Notes that it answered a direct question; that clears a silence, but no failure of requests.
void note_probe_answer(target_condition& condition);

//! Notes what an engine reported of itself.
void note_report(target_condition& condition, double pace, double memory_share, time_point now);

//! Notes that the engine is given `token_layers` to read: tokens times layers.
void note_prefill(target_condition& condition, double token_layers, time_point now);

//! What it is given to read in a millisecond, over about the last second: tokens times layers.
double current_prefill_load(const target_condition& condition, time_point now);

//! The factor on an engine's times by its last report; 1 when that is old.
double current_slowdown(const target_condition& condition, time_point now);

//! The share of its memory in use by its last report; 0 when that is old.
double current_kv_cache_usage(const target_condition& condition, time_point now);

//! Whether a request was just sent to a target that could not be reached several times: others need not wait
//! for a connection as well.
bool is_in_half_open_trial(const target_condition& condition, time_point now);

//! Whether the target may be used now.
bool is_usable(const target_condition& condition, time_point now);

//! The factor on its estimated load as of now.
double current_load_correction(const target_condition& condition, time_point now);

//! The share of failures as of now; old experience fades.
double current_failure_rate(const target_condition& condition, time_point now);

} // namespace dandelionstep
