#pragma once

#include "common/outcome.hpp"
#include "request/fair_queue.hpp"

#include <variant>

namespace dandelionstep {

//! A request that asks for admission.
struct admission_request {
    request_id id;
    organisation_id organisation;
    double weight = 1;
    //! The maximum number of the organisation's requests that run at the same time.
    std::int64_t max_in_flight = 256;
    request_priority priority = request_priority::normal;
    token_count max_tokens;
    time_point deadline;
};

//! Limits for the admission of one model's requests at one daemon.
struct admission_limits {
    //! Target for the mean time per token in milliseconds; below it the concurrency limit may grow.
    double token_ms = 45;
    //! The longest time in the queue; the rest of the allowed time to first token is left for the prefill.
    milliseconds max_wait{1200};
    std::size_t max_queued = 512;
    double min_running_limit = 4;
    double max_running_limit = 2048;
};

//! The adaptive concurrency limit of one model at one daemon, with its running and queued requests.
struct admission_state {
    admission_limits limits;
    //! The maximum number of requests that run at the same time.
    double running_limit = 64;
    //! Moving average of the tokens that one request generates.
    double mean_answer_tokens = 64;
    //! Moving average of the time per token in milliseconds.
    double token_ms = 20;
    std::int64_t finished_since_increase = 0;
    std::int64_t finished_since_decrease = 0;
    //! Slow start, as in TCP: the limit grows by one with each completed request until the time per token
    //! first approaches its target.
    bool in_slow_start = true;

    struct running_request {
        organisation_id organisation;
        time_point began;
    };
    std::map<request_id, running_request> running;
    std::map<organisation_id, std::int64_t> running_by_organisation;
    std::map<organisation_id, std::int64_t> limit_of_organisation;
    fair_queue queue;
};

struct start_request {
    request_id id;
};
struct refuse_request {
    request_id id;
    error_code code = error_code::overloaded;
    //! The time after which the queue is expected to be short enough.
    milliseconds retry_after{0};
};

//! What the caller of these functions must do.
using admission_action = std::variant<start_request, refuse_request>;
using admission_actions = std::vector<admission_action>;

//! The expected time in the queue of a new request.
milliseconds expected_wait(const admission_state& state, const admission_request& request);

//! Starts the request, queues it, or refuses it at once if it would wait too long or miss its deadline.
admission_actions offer(admission_state& state, const admission_request& request, time_point now);

//! Notes that a request ended after `tokens` tokens and starts the next ones in the queue. A request that did
//! not complete leaves the averages unchanged.
admission_actions finish(admission_state& state, const request_id& id, token_count tokens, bool completed,
                         time_point now);

//! Refuses queued requests that can no longer be answered in time, and starts others if slots are free.
admission_actions tick(admission_state& state, time_point now);

//! Removes a queued request whose caller has disconnected.
void abandon(admission_state& state, const request_id& id);

} // namespace dandelionstep
