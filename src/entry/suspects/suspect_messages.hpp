#pragma once

#include "absl/status/statusor.h"
#include "common/clock.hpp"
#include "common/json_types.hpp"
#include "request/segment_suspects.hpp"
#include "request/suspects.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace dandelionstep {

//! Suspects as they stand in messages between daemons.
json suspects_json(const std::vector<suspect_report>& reports);
//! The suspects of a message; what can't be read is left out.
std::vector<suspect_report> parse_suspects(const json& message, const char* name);

//! Suspected segments as they stand in messages between daemons.
json segments_json(const std::vector<segment_report>& reports);
//! The suspected segments of a message; what can't be read is left out.
std::vector<segment_report> parse_segments(const json& message, const char* name);

//! A row of the store: one crash under requests with a segment, or that an answer with it began later. Never
//! changed. Daemons that do not know segments take it for a request that they never meet.
struct segment_row {
    segment_fingerprint segment;
    crash_id crash;
    bool is_alone = false;
    bool is_cleared = false;
    //! When the target crashed, by the writer's civil clock.
    wall_time at;
};

std::string key_of(const segment_row& row);
//! Whether a row with that key is about a segment.
bool is_segment_key(std::string_view key);
std::string to_text(const segment_row& row);
absl::StatusOr<segment_row> parse_segment_row(std::string_view text);
//! The row as a report, as of a civil time.
segment_report report_of(const segment_row& row, wall_time now);

//! A process of a target that a daemon found ended.
struct ended_report {
    target_id target;
    incarnation started;
    //! The time since it was found.
    milliseconds age;
};

//! Ended processes as they stand in messages between daemons.
json ended_json(const std::vector<ended_report>& reports);
//! The ended processes of a message; what can't be read is left out.
std::vector<ended_report> parse_ended(const json& message, const char* name);

//! A row of the store: one process that was found ended. Never changed, and useless after some seconds.
struct ended_row {
    target_id target;
    incarnation started;
    //! By the writer's civil clock.
    wall_time at;
};

std::string key_of(const ended_row& row);
//! Whether a row with that key is about an ended process.
bool is_ended_key(std::string_view key);
std::string to_text(const ended_row& row);
absl::StatusOr<ended_row> parse_ended_row(std::string_view text);
//! The row as a report, as of a civil time.
ended_report report_of(const ended_row& row, wall_time now);

//! A row of the store: one death under a request, or that the request was answered whole. Never changed.
struct suspect_row {
    request_fingerprint request;
    //! Ignored where `finished`.
    crash_id takedown;
    crash_place place;
    bool finished = false;
    //! When it was written, by the writer's civil clock.
    wall_time at;
};

std::string key_of(const suspect_row& row);
std::string to_text(const suspect_row& row);
absl::StatusOr<suspect_row> parse_suspect_row(std::string_view text);

//! The row as a report, as of a civil time.
suspect_report report_of(const suspect_row& row, wall_time now);

} // namespace dandelionstep
