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
//! The awaited target answered, whole.
struct lookup_answered {
    attempt_number attempt;
    int status = 0;
    std::string content_type;
    std::string body;
};
struct lookup_attempt_failed {
    attempt_number attempt;
    //! Whether it is proven that the target ran nothing.
    bool proven_not_run = false;
};
struct lookup_deadline {};
struct lookup_caller_gone {};

//! What can happen to a call that may be repeated.
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

//! What the adapter is to do.
using lookup_action = std::variant<send_lookup, cancel_lookup, answer_lookup, refuse_lookup>;

//! Bounds of one call.
struct lookup_limits {
    std::int64_t max_attempts = 3;
    milliseconds retry_after{1000};
};

//! The progress of one call.
struct lookup_state {
    lookup_limits limits;
    execution_tracker execution;
    attempt_number attempt;
    std::optional<target> awaited;
    std::set<target_id> excluded;
    bool finished = false;
};

//! Chooses a replica of the service that avoids the excluded ones; nullopt when there is none.
using lookup_replica_source = std::function<std::optional<target>(const std::set<target_id>& excluded)>;

//! Advances the call by one event; after it has finished every event is ignored.
std::vector<lookup_action> advance(lookup_state& state, const lookup_event& event,
                                   const lookup_replica_source& replicas);

} // namespace dandelionstep
