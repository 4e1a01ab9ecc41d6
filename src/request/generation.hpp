#pragma once

#include "absl/status/statusor.h"
#include "common/clock.hpp"
#include "common/ids.hpp"
#include "request/execution_tracker.hpp"
#include "request/hop_plan.hpp"
#include "route/chain.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace dandelionstep {

//! One caller's request to generate an answer with a model.
struct generation_request {
    request_id id;
    organisation_id organisation;
    model_id model;
    std::string prompt;
    token_count max_tokens{256};
    time_point deadline = never;
};

//! Why an attempt ended early.
enum class attempt_failure {
    not_connected, //!< The connection to the first hop failed; no byte was sent.
    refused,       //!< The first hop refused, and its contract guarantees that a refused request did not run.
    reset,         //!< A connection broke, or a hop reported that the next one broke.
    unreachable,   //!< A hop reported that it cannot connect to the next one.
    token_gap,     //!< A timeout: no token arrived for too long, here or at a hop that reported it.
    protocol,      //!< A response that violates the protocol, for example a token out of order.
    slow,          //!< A hop, or the link to it, has become much slower than it was.
    cache_missing, //!< A hop no longer has the KV cache that it was assumed to have; it is not at fault.
};

//! The name of the failure in logs and metrics.
std::string_view to_string(attempt_failure failure);

//! The failure that an engine's error code means; `reset` for unknown codes.
attempt_failure parse_attempt_failure(std::string_view error);

struct generation_started {};
struct token_received {
    attempt_number attempt;
    token_count index;
    std::string text;
    //! The time that the token spent at each hop and on the link to it; empty when the engine does not report
    //! it.
    std::vector<milliseconds> hop_times{};
};
struct stream_ended {
    attempt_number attempt;
    token_count count;
};
struct attempt_failed {
    attempt_number attempt;
    attempt_failure failure = attempt_failure::reset;
    //! The target at fault, if known. Otherwise the first hop is blamed, since it would have named another
    //! one.
    std::optional<target_id> culprit;
};
//! The attempt's stream contained a line that belongs to another request or attempt.
struct mismatched_line_received {};
struct clock_ticked {};
struct caller_gone {};

//! The events of a generation.
using generation_event = std::variant<generation_started, token_received, stream_ended, attempt_failed,
                                      mismatched_line_received, clock_ticked, caller_gone>;

struct open_attempt {
    attempt_number attempt;
    chain through;
    //! The tokens that were already delivered to the caller; the attempt continues after them.
    std::vector<std::string> delivered;
    //! One plan for each hop.
    std::vector<hop_plan> plans;
    //! Whether the previous attempt delivered no token, so that this one counts against the retry budget.
    bool is_retry = false;
};
struct cancel_attempt {
    attempt_number attempt;
    chain through;
    //! Whether the hops keep their KV caches for a next attempt; otherwise they free them.
    bool keep_cache = false;
};
//! The target failed this request; other requests should avoid it for a while.
struct suspect_target {
    target_id target;
    attempt_failure failure = attempt_failure::reset;
};
struct deliver_token {
    token_count index;
    std::string text;
};
struct deliver_end {
    token_count count;
    //! SHA-256 of the complete answer, so that a truncated one can be detected.
    std::string digest;
};
struct deliver_refusal {
    refusal why;
};

//! What the caller of `advance` must do.
using generation_action =
    std::variant<open_attempt, cancel_attempt, suspect_target, deliver_token, deliver_end, deliver_refusal>;

//! Limits for one generation.
struct generation_limits {
    //! The longest time between tokens before the attempt counts as failed.
    milliseconds token_gap{400};
    //! The longest wait for an attempt's first token, which includes the prefill.
    milliseconds first_token_gap{1500};
    std::int64_t max_attempts = 8;
    //! A hop is slow when slow_tokens tokens in a row take at least slow_factor times its best time, and at
    //! least slow_floor.
    std::int64_t slow_factor = 4;
    milliseconds slow_floor{100};
    std::int64_t slow_tokens = 4;
    //! How long the request avoids a target that failed it.
    milliseconds exclusion{2000};
    //! The same for a target that cannot be connected to: another attempt to connect costs next to nothing.
    milliseconds unreachable_exclusion{300};
    milliseconds retry_after{1000};
};

//! How long a request avoids a target.
struct exclusion {
    time_point until;
    //! Whether the target is probably alive, so that it is used again before the request is given up.
    bool may_be_alive = false;
};

//! The latency of a hop in the current attempt.
struct hop_latency {
    milliseconds best{INT64_MAX / 4};
    //! The number of consecutive tokens for which the hop was slow.
    std::int64_t slow_tokens = 0;
};

//! The progress of one generation.
struct generation_state {
    generation_request request;
    generation_limits limits;
    execution_tracker execution;
    //! The tokens that were delivered to the caller.
    std::vector<std::string> tokens;
    attempt_number attempt;
    //! The chain of the current attempt; nullopt when none is in flight.
    std::optional<chain> active;
    //! The chain that generated the last token.
    std::optional<chain> last;
    bool attempt_has_answered = false;
    time_point last_progress;
    std::map<target_id, exclusion> excluded;
    cached_positions cached;
    std::vector<hop_latency> hop_latencies;
    //! Whether the answer was already moved away from a slow hop, which happens at most once.
    bool moved_off_slow_hop = false;
    //! Attempts that timed out without a hop being named.
    std::int64_t unattributed_timeouts = 0;
    //! Messages that were dropped because they did not belong to the awaited step.
    std::int64_t dropped_answers = 0;
    bool finished = false;
};

//! Which of the ejected targets, those that recently failed other requests, may be used.
enum class ejected_targets {
    avoid,           //!< None.
    use_failed_once, //!< Those that have failed only once.
    use,             //!< All.
};

//! What a generation requires of its next chain.
struct chain_requirements {
    std::set<target_id> excluded;
    ejected_targets ejected = ejected_targets::avoid;
    //! The chain whose hops have the request's KV caches; repairing it is preferred over an unrelated chain.
    std::optional<chain> broken;
};

//! Chooses a chain; Unavailable when there is none now, NotFound when there is no such model,
//! PermissionDenied when the request is blocked as a suspected crasher.
using chain_source = std::function<absl::StatusOr<chain>(const chain_requirements& required)>;

//! Whether the next attempt would be a retry: it follows an attempt that delivered no token. An attempt after
//! one that delivered tokens continues useful work and is not a retry.
bool next_is_retry(const generation_state& state);

//! Advances the generation by one event; events after its end are ignored.
std::vector<generation_action> advance(generation_state& state, const generation_event& event,
                                       const chain_source& chains, time_point now);

} // namespace dandelionstep
