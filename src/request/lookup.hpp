#pragma once

#include "common/clock.hpp"
#include "request/execution_tracker.hpp"
#include "target/target.hpp"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace dandelionstep {

struct lookup_started {};
//! The target of the current attempt answered completely.
struct lookup_answered {
    attempt_number attempt;
    int status = 0;
    std::string content_type;
    std::string body;
};
struct lookup_attempt_failed {
    attempt_number attempt;
    //! Whether it is proven that the target did not run any part of the call.
    bool proven_not_run = false;
};
struct lookup_deadline {};
struct lookup_caller_gone {};

//! The events of a lookup: an idempotent call to a service, which may be retried at another replica.
using lookup_event =
    std::variant<lookup_started, lookup_answered, lookup_attempt_failed, lookup_deadline, lookup_caller_gone>;

struct send_lookup {
    attempt_number attempt;
    target to;
};
struct cancel_lookup {
    attempt_number attempt;
};
struct answer_lookup {
    int status = 0;
    std::string content_type;
    std::string body;
};
struct refuse_lookup {
    refusal why;
};

//! What the caller of `advance` must do.
using lookup_action = std::variant<send_lookup, cancel_lookup, answer_lookup, refuse_lookup>;

//! Limits for one lookup.
struct lookup_limits {
    std::int64_t max_attempts = 3;
    milliseconds retry_after{1000};
};

//! The progress of one lookup.
struct lookup_state {
    lookup_limits limits;
    execution_tracker execution;
    attempt_number attempt;
    //! The target of the attempt in flight; nullopt when there is none.
    std::optional<target> awaited;
    std::set<target_id> excluded;
    bool finished = false;
};

//! Chooses a replica of the service that is not excluded; nullopt when there is none.
using lookup_replica_source = std::function<std::optional<target>(const std::set<target_id>& excluded)>;

//! Advances the lookup by one event; events after its end are ignored.
std::vector<lookup_action> advance(lookup_state& state, const lookup_event& event,
                                   const lookup_replica_source& replicas);

} // namespace dandelionstep
