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

//! What may be repeated of the requests on a route.
enum class route_kind {
    idempotent,   //!< May run more than once.
    at_most_once, //!< May run once for each attempt of the caller.
    stream,       //!< Answered by server-sent events; repeatable only where the route says it may be resumed.
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
    //! Longest time that a request may be kept waiting.
    milliseconds timeout{30'000};
    //! Time to the first part of the answer within which it is on time.
    milliseconds latency_objective{1'000};
    //! Longest pause between events for which a stream is on time.
    milliseconds gap_objective{1'000};
    int max_attempts = 1;
    //! 0 is the most urgent.
    int priority = 5;
    //! Needs no key.
    bool is_public = false;
    bool resumable = false;
    std::vector<weighted_service> services;
};

//! A kind of accelerator that engines of a service run on.
struct accelerator_kind {
    double memory_mb = 0;
    //! Factor on the times of token steps.
    double step_factor = 1;
    //! Factor on the times of reading prompts.
    double prefill_factor = 1;
};

//! Sizes and speeds of the engines of a service.
struct engine_profile {
    std::int64_t layers = 0;
    double layer_mb = 0;
    //! Memory of one token over all layers.
    double kv_cache_bytes_per_token = 0;
    //! Duration of one token step over all layers, without requests.
    double step_ms = 0;
    //! What each writing request adds to a step.
    double step_ms_per_request = 0;
    //! What each writing request adds for each 1,000 tokens of its context.
    double step_ms_per_context_k = 0;
    double prefill_tokens_per_ms = 1;
    //! What an engine hands on to the next for each token.
    double activation_bytes = 0;
    //! Bandwidth between two data centres, which all requests share; 0 when not known.
    double centre_link_mbps = 0;
    //! Token steps in one pass; an event of a stream holds so many tokens.
    double steps_per_event = 1;
    //! Time to load all layers.
    milliseconds load_time{0};
    //! Mean sizes of requests, in tokens.
    double mean_prompt_tokens = 0;
    double mean_answer_tokens = 0;
    std::map<std::string, accelerator_kind> kinds;
};

//! The profile's kind of accelerator; null when it has none of that name.
const accelerator_kind* find_kind(const engine_profile& profile, const std::string& name);

//! A service and, where its targets are engines that hold ranges of layers, their profile.
struct entry_service {
    service_id id;
    std::string health_path;
    std::int64_t max_connections = 0;
    std::optional<engine_profile> engine;
};

//! What a caller may send and how long it may take.
struct caller_bounds {
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
    milliseconds header_timeout{3'000};
    milliseconds idle_timeout{15'000};
};

//! An organisation whose callers present one of its keys.
struct key_owner {
    organisation_id organisation;
    //! Goes before the route's priority.
    std::optional<int> priority;
};

//! The operators' configuration in force, indexed for requests.
struct entry_config {
    revision version;
    //! Routes of each host by prefix.
    std::unordered_map<std::string, std::unordered_map<std::string, entry_route>> routes;
    std::map<service_id, entry_service> services;
    std::unordered_map<std::string, key_owner> keys;
    //! Whether callers need keys at all.
    bool has_organisations = false;
    caller_bounds bounds;
};

//! The route of the host with the longest prefix that begins the path; null when none matches.
//! A query after the path is ignored.
const entry_route* find_route(const entry_config& config, const std::string& host, const std::string& target);

//! Picks one of the route's services by weight; `draw` is uniform in [0, 1). Null when it has none.
const service_id* pick_service(const entry_route& route, double draw);

} // namespace dandelionstep
