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

//! One caller's request for a model's answer.
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
    not_connected, //!< The first hop was never reached; no byte left.
    refused,       //!< The first hop refused under a contract that says refusals did not run.
    reset,         //!< A connection broke, or a hop reported that the next one broke.
    unreachable,   //!< A hop reported that the next one can't be connected to.
    token_gap,     //!< Nothing arrived for too long, here or at a hop that reported it.
    protocol,      //!< An answer that breaks the contract, for example a token out of order.
    slow,          //!< A hop, or the link to it, has become much slower than it was.
    cache_missing, //!< A hop no longer holds the KV cache that it was taken to hold; it is not at fault.
};

//! The name of the failure in logs and metrics.
std::string_view to_string(attempt_failure failure);

//! The failure that an engine's error code stands for.
attempt_failure parse_attempt_failure(std::string_view error);

struct generation_started {};
struct token_received {
    attempt_number attempt;
    token_count index;
    std::string text;
    //! The time that the token spent at each hop and on the link to it; empty when the engine does not say.
    std::vector<milliseconds> hop_times{};
};
struct stream_ended {
    attempt_number attempt;
    token_count count;
};
struct attempt_failed {
    attempt_number attempt;
    attempt_failure failure = attempt_failure::reset;
    //! The target at fault where it is known; else the first hop, which would have named another.
    std::optional<target_id> culprit;
};
//! A line that names another request or attempt came in the attempt's stream.
struct mismatched_line_received {};
struct clock_ticked {};
struct caller_gone {};

//! What can happen to a generation.
using generation_event = std::variant<generation_started, token_received, stream_ended, attempt_failed,
                                      mismatched_line_received, clock_ticked, caller_gone>;

struct open_attempt {
    attempt_number attempt;
    chain through;
    //! Tokens already given to the caller; the attempt goes on after them.
    std::vector<std::string> delivered;
    //! One for each hop.
    std::vector<hop_plan> plans;
    //! The attempt before came to nothing, so that this one counts against the retry budget.
    bool is_retry = false;
};
struct cancel_attempt {
    attempt_number attempt;
    chain through;
    //! Whether a next attempt may use the KV caches; else the hops free them.
    bool keep_cache = false;
};
//! The target failed this request; other requests had better avoid it for a while.
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
    //! SHA-256 over the whole answer, so that a cut one can't pass for whole.
    std::string digest;
};
struct deliver_refusal {
    refusal why;
};

//! What the adapter is to do.
using generation_action =
    std::variant<open_attempt, cancel_attempt, suspect_target, deliver_token, deliver_end, deliver_refusal>;

//! Bounds of one generation.
struct generation_limits {
    //! Longest silence between tokens before the attempt counts as failed.
    milliseconds token_gap{400};
    //! Longest wait for an attempt's first token, which includes the prefill.
    milliseconds first_token_gap{1500};
    std::int64_t max_attempts = 8;
    //! A hop is slow from this multiple of its best time on, over several tokens in a row,
    std::int64_t slow_factor = 4;
    //! but not below this time.
    milliseconds slow_floor{100};
    std::int64_t slow_tokens = 4;
    //! How long the request avoids a target that failed it.
    milliseconds exclusion{2000};
    //! The same for one that can't be connected to, as another try costs next to nothing.
    milliseconds unreachable_exclusion{300};
    milliseconds retry_after{1000};
};

//! Why a request avoids a target, and until when.
struct exclusion {
    time_point until;
    //! Whether the target may well be alive, so that trying it again is better than giving up.
    bool may_be_alive = false;
};

//! How quick a hop has been in the present attempt.
struct hop_latency {
    milliseconds best{INT64_MAX / 4};
    //! Tokens in a row for which it was slow.
    std::int64_t slow_tokens = 0;
};

//! The progress of one generation.
struct generation_state {
    generation_request request;
    generation_limits limits;
    execution_tracker execution;
    std::vector<std::string> tokens;
    attempt_number attempt;
    std::optional<chain> active;
    //! The chain of the last token.
    std::optional<chain> last;
    bool attempt_has_answered = false;
    time_point last_progress;
    std::map<target_id, exclusion> excluded;
    cached_positions cached;
    std::vector<hop_latency> hop_latencies;
    //! Whether the answer has left a slow hop already; it does so once.
    bool moved_off_slow_hop = false;
    //! Attempts that ended in silence, with no hop named.
    std::int64_t unattributed_timeouts = 0;
    //! Answers that were dropped because they did not match the awaited step.
    std::int64_t dropped_answers = 0;
    bool finished = false;
};

//! Which targets may be used that failed other requests lately.
enum class ejected_targets {
    avoid,           //!< None.
    use_failed_once, //!< Those that have failed once and not again.
    use,             //!< All.
};

//! What a generation wants of its next chain.
struct chain_requirements {
    std::set<target_id> excluded;
    ejected_targets ejected = ejected_targets::avoid;
    //! The chain whose hops hold the request's KV caches; better repaired than given up.
    std::optional<chain> broken;
};

//! Chooses a chain; Unavailable when there is none now, NotFound when there is no such model.
using chain_source = std::function<absl::StatusOr<chain>(const chain_requirements& wish)>;

//! Whether the next attempt would follow one that came to nothing. One that follows delivered tokens goes on
//! with useful work and is no retry.
bool next_is_retry(const generation_state& state);

//! Advances the generation by one event; after it has finished every event is ignored.
std::vector<generation_action> advance(generation_state& state, const generation_event& event,
                                       const chain_source& chains, time_point now);

} // namespace dandelionstep
