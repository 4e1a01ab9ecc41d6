#pragma once

#include "common/clock.hpp"
#include "common/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace dandelionstep {

//! How often a request on a route may be executed.
enum class route_kind {
    idempotent,   //!< Any number of times.
    at_most_once, //!< At most once for each attempt of the caller.
    stream,       //!< Answered by server-sent events; more than once only if the route is resumable.
};

//! A service that takes a share of a route's requests.
struct weighted_service {
    service_id service;
    double weight = 1;
};

//! One route, selected by host and longest path prefix.
struct entry_route {
    std::string name;
    std::string host;
    //! Begins and ends with a slash.
    std::string prefix;
    route_kind kind = route_kind::at_most_once;
    //! Longest time that a request may wait for its answer.
    milliseconds timeout{30'000};
    //! Service level: longest time until the first part of the answer.
    milliseconds latency_objective{1'000};
    //! Service level: longest pause between two events of a stream.
    milliseconds gap_objective{1'000};
    int max_attempts = 1;
    //! 0 is the most urgent.
    int priority = 5;
    //! Whether callers need no API key.
    bool is_public = false;
    bool resumable = false;
    std::vector<weighted_service> services;
};

//! A kind of accelerator that engines of a service run on.
struct accelerator_kind {
    double memory_mb = 0;
    //! Factor on the duration of decode steps.
    double step_factor = 1;
    //! Factor on the duration of prefill.
    double prefill_factor = 1;
};

//! Sizes and speeds of the engines of a service.
struct engine_profile {
    std::int64_t layers = 0;
    double layer_mb = 0;
    //! Size of one token's KV cache over all layers.
    double kv_cache_bytes_per_token = 0;
    //! Fixed part of the duration of a decode step over all layers.
    double step_ms = 0;
    //! Time that each decoding request adds to a step.
    double step_ms_per_request = 0;
    //! Time that each decoding request adds to a step for every 1,000 tokens of its context.
    double step_ms_per_context_k = 0;
    double prefill_tokens_per_ms = 1;
    //! Bytes that an engine sends to the next engine of the path for each token.
    double activation_bytes = 0;
    //! Bandwidth between two data centres in Mbit/s, shared by all requests; 0 if unknown.
    double centre_link_mbps = 0;
    //! Decode steps, and so tokens, in each event of a stream.
    double steps_per_event = 1;
    //! Time in which an engine loads all layers.
    milliseconds load_time{0};
    //! Mean lengths of prompts and answers.
    double mean_prompt_tokens = 0;
    double mean_answer_tokens = 0;
    std::map<std::string, accelerator_kind> kinds;
};

//! Returns the profile's accelerator kind of this name; null if it has none.
const accelerator_kind* find_kind(const engine_profile& profile, const std::string& name);

//! A service. It has an engine profile if its targets are engines that hold ranges of layers.
struct entry_service {
    service_id id;
    std::string health_path;
    std::int64_t max_connections = 0;
    std::optional<engine_profile> engine;
};

//! Limits on the size of a caller's request and on the time that the caller takes.
struct caller_bounds {
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
    milliseconds header_timeout{3'000};
    milliseconds idle_timeout{15'000};
    //! Whether they hold until a configuration is known, which may allow more.
    bool are_preliminary = false;
};

//! Of each bound the one that allows more; preliminary only if both are.
caller_bounds larger_of(const caller_bounds& a, const caller_bounds& b);

//! The organisation that an API key belongs to.
struct key_owner {
    organisation_id organisation;
    //! Overrides the route's priority.
    std::optional<int> priority;
};

//! The operators' current configuration, indexed for lookup by requests.
struct entry_config {
    revision version;
    //! Routes by host and path prefix.
    std::unordered_map<std::string, std::unordered_map<std::string, entry_route>> routes;
    std::map<service_id, entry_service> services;
    std::unordered_map<std::string, key_owner> keys;
    //! Whether any organisation is configured; if not, callers need no keys.
    bool has_organisations = false;
    //! Whether its routes and services call for load control (see load_control.hpp).
    bool calls_for_load_control = false;
    caller_bounds bounds;
};

//! Returns the host's route with the longest prefix of the request target's path; null if none matches.
//! The port in `host` and the query in `target` are ignored.
const entry_route* find_route(const entry_config& config, const std::string& host, const std::string& target);

//! Picks a service of the route with a probability in proportion to its weight; `draw` is a uniform random
//! number in [0, 1). Returns null if no service has a positive weight.
const service_id* pick_service(const entry_route& route, double draw);

} // namespace dandelionstep
