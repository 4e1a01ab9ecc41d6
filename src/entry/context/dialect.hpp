#pragma once

#include "absl/status/statusor.h"
#include "adapters/received_request.hpp"
#include "entry/context/entry_settings.hpp"
#include "route/entry_config.hpp"
#include "target/target_registry.hpp"
#include "vm/store_era.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionstep {

//! What a caller's headers say about its request.
struct request_facts {
    //! Identifies this attempt of the caller; empty when it gave none.
    std::string attempt_id;
    std::string key;
    //! How long the caller will wait.
    std::optional<milliseconds> patience;
    //! The last event that the caller has of a stream that it resumes.
    std::optional<std::int64_t> last_event;
    token_count prompt_tokens;
    token_count max_answer_tokens;
    //! The caller's estimate of the answer's length.
    std::optional<std::int64_t> answer_hint;
    //! The segments of the prompt that other requests may share, in order: all but the last one.
    std::vector<segment_id> shared_segments;
};

//! Requests that a target runs, that wait there, and that it can run at once.
struct target_load {
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t slots = 0;
};

//! What the head of a target's response says.
struct response_facts {
    std::string attempt_id;
    //! Whether it bears the target's signature, without which a success is none.
    bool is_signed = false;
    //! The target states that it did not run the request and never will.
    bool did_not_run = false;
    bool is_encoded = false;
    std::optional<target_load> load;
    //! The target says that it leaves; answers of another target at its address never do.
    bool is_leaving = false;
    //! For how long a target that refuses wants no further request from this daemon.
    std::optional<milliseconds> rest;
    //! It says so with a figure that can't be used.
    bool has_unreadable_rest = false;
    //! The engine of the path that caused a refusal.
    std::optional<endpoint> at_fault;
};

//! One engine of a path, by address.
struct hop {
    target_id id;
    endpoint address;
    held_layers layers;
    //! The process that is meant.
    incarnation started = {};

    friend bool operator==(const hop&, const hop&) = default;
};

//! What the router adds to a request that it passes on.
struct forwarding {
    target_id expected;
    std::optional<organisation_id> organisation;
    milliseconds patience{0};
    std::optional<std::int64_t> last_event;
    std::vector<hop> path;
    //! 0 is the most urgent.
    std::optional<int> urgency;
};

//! A request whose work waits for an engine of its path that does not answer.
struct stalled_request {
    std::string attempt_id;
    endpoint at_fault;
};

//! What an engine says of itself; some hundred milliseconds old.
struct engine_report {
    bool is_busy = false;
    //! Number of orders that it has begun since its start.
    std::int64_t order_sequence = 0;
    held_layers layers;
    //! Over 1 when the engine is slow.
    double pace = 1;
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    //! Tokens times layers.
    double memory_used = 0;
    double memory_total = 0;
    std::vector<stalled_request> stalled;
};

//! An order to an engine to hold these layers.
struct place_order {
    held_layers layers;
    //! The engine refuses the order if it has begun another one since.
    std::int64_t expected_sequence = 0;
    std::int64_t fencing_number = 0;
};

//! One HTTP call to the store or a target.
struct outgoing_call {
    std::string method = "GET";
    std::string target;
    http_headers headers;
    std::string body;
};

//! A row of the store.
struct stored_row {
    std::string table;
    std::string key;
    //! Empty when its bytes can't be decoded; no row that can be used has an empty one.
    std::string value;
    //! Taken from the store's single counter at the last write; 0 means absent.
    std::int64_t version = 0;
    bool is_removed = false;
};

//! Rows that the store returned.
struct stored_rows {
    std::vector<stored_row> rows;
    //! Whether there are more rows, or more changes after `version`.
    bool has_more = false;
    //! The version from which changes go on; the store's newest one unless there are more.
    std::int64_t version = 0;
};

//! Writes or removes one row, where given on condition that it still has this version.
struct conditional_write {
    stored_row row;
    std::optional<std::int64_t> expected_version;
};

//! Names of the store's tables that others write.
struct store_names {
    std::string configuration_table;
    std::string configuration_key;
    std::string targets_table;
};

//! Translates between a platform's messages and the product's types; holds no policy.
struct entry_dialect {
    absl::StatusOr<entry_settings> (*parse_settings)(const std::string& text, const std::string& file_name);
    absl::StatusOr<entry_config> (*parse_config)(std::string_view text);
    //! Fails for an entry that names no target that can be used.
    absl::StatusOr<registered_target> (*parse_target)(const std::string& key, std::string_view text);
    absl::StatusOr<engine_report> (*parse_report)(std::string_view text);

    request_facts (*read_request)(const http_headers& headers);
    response_facts (*read_response)(int status, const http_headers& headers);
    //! The caller's headers as they are passed on.
    http_headers (*forward_headers)(const http_headers& from_caller, const forwarding& added);
    //! The target's headers as they are passed on to the caller.
    http_headers (*answer_headers)(const http_headers& from_target);

    outgoing_call (*report_call)(const target_id& to);
    outgoing_call (*place_call)(const target_id& to, const place_order& order);
    outgoing_call (*repath_call)(const target_id& to, const std::string& attempt_id,
                                 const std::vector<hop>& path);
    //! The engine for whose sake a new path was refused, if the refusal names one.
    std::optional<endpoint> (*parse_path_refusal)(std::string_view text);

    //! The era that an answer of the store tells, 0 if none; fails if it can't be read.
    absl::StatusOr<store_era> (*read_era)(const http_headers& headers);
    store_names (*names)();
    outgoing_call (*rows_call)(const std::string& table, const std::string& from_key);
    outgoing_call (*changes_call)(const std::string& table, std::int64_t after_version, milliseconds wait);
    outgoing_call (*write_call)(const std::vector<conditional_write>& writes);
    absl::StatusOr<stored_rows> (*parse_rows)(std::string_view text);
};

} // namespace dandelionstep
