#pragma once

#include "common/outcome.hpp"
#include "request/fair_queue.hpp"

#include <variant>

namespace dandelionstep {

//! A request that asks to be let in.
struct admission_request {
    request_id id;
    organisation_id organisation;
    double weight = 1;
    //! Requests of the organisation that may run at once.
    std::int64_t max_in_flight = 256;
    request_priority priority = request_priority::normal;
    token_count max_tokens;
    time_point deadline;
};

//! Bounds of one model's admission at one daemon.
struct admission_limits {
    //! Mean time between tokens up to which more requests are let in at once.
    double token_ms = 45;
    //! Longest wait in the queue; the rest of the time to the first token is left for the prefill.
    milliseconds max_wait{1200};
    std::size_t max_queued = 512;
    double min_running_limit = 4;
    double max_running_limit = 2048;
};

//! What one daemon has learned of a model's pace, and who waits.
struct admission_state {
    admission_limits limits;
    //! Requests that may run at once.
    double running_limit = 64;
    //! Tokens that one request generates, on average.
    double mean_answer_tokens = 64;
    //! Time of one token, on average.
    double token_ms = 20;
    std::int64_t finished_since_increase = 0;
    std::int64_t finished_since_decrease = 0;
    //! Until tokens are too slow for the first time, the limit grows with each request that ends.
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
    //! When the queue is expected to be short enough.
    milliseconds retry_after{0};
};

//! What the adapter is to do.
using admission_action = std::variant<start_request, refuse_request>;
using admission_actions = std::vector<admission_action>;

//! How long a new request would wait before it starts.
milliseconds expected_wait(const admission_state& state, const admission_request& request);

//! Starts the request, queues it, or turns it away at once when it would miss its window.
admission_actions offer(admission_state& state, const admission_request& request, time_point now);

//! Notes that a request ended after `tokens` and lets in who is next. Tells nothing of the pace if it failed.
admission_actions finish(admission_state& state, const request_id& id, token_count tokens, bool completed,
                         time_point now);

//! Turns away at once who can no longer be answered in time.
admission_actions tick(admission_state& state, time_point now);

//! Forgets a waiting request whose caller is gone.
void abandon(admission_state& state, const request_id& id);

} // namespace dandelionstep
