#include "entry/suspects/suspect_messages.hpp"

#include "absl/strings/str_cat.h"
#include "common/json.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

constexpr const char* segment_key_prefix = "segment/";
constexpr const char* ended_key_prefix = "ended/";

// Clocks of vms differ by seconds, which is little beside the time for which a suspicion lasts.
milliseconds age_of(std::int64_t ms)
{
    return {std::max<std::int64_t>(0, ms)};
}

json takedowns_json(const suspect_report& report)
{
    json list = json::array();
    for (const auto& [takedown, place] : report.takedowns) {
        list.push_back(
            {{"id", takedown.value}, {"after_event", place.delivered.value}, {"layer", place.layer.value}});
    }
    return list;
}

crash_place parse_place(const json& object)
{
    return {token_count{integer_or(object, "after_event", 0)}, layer_index{integer_or(object, "layer", 0)}};
}

} // namespace

json suspects_json(const std::vector<suspect_report>& reports)
{
    json list = json::array();
    for (const suspect_report& report : reports) {
        list.push_back({{"fingerprint", report.fingerprint.value},
                        {"age_ms", report.age.count},
                        {"finished", report.finished},
                        {"takedowns", takedowns_json(report)}});
    }
    return list;
}

std::vector<suspect_report> parse_suspects(const json& message, const char* name)
{
    std::vector<suspect_report> reports;
    for (const json& item : message.value(name, json::array())) {
        if (!item.is_object()) {
            continue;
        }
        suspect_report report;
        report.fingerprint = {integer_or(item, "fingerprint", 0)};
        report.age = age_of(integer_or(item, "age_ms", 0));
        report.finished = boolean_or(item, "finished", false);
        for (const json& takedown : item.value("takedowns", json::array())) {
            report.takedowns.emplace_back(crash_id{integer_or(takedown, "id", 0)}, parse_place(takedown));
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

json segments_json(const std::vector<segment_report>& reports)
{
    json list = json::array();
    for (const segment_report& report : reports) {
        json crashes = json::array();
        for (const segment_report::crash& crash : report.crashes) {
            crashes.push_back({{"id", crash.id.value},
                               {"age_ms", crash.age.count},
                               {"alone", crash.is_alone},
                               {"cleared", crash.is_cleared}});
        }
        list.push_back({{"segment", report.segment.value}, {"crashes", std::move(crashes)}});
    }
    return list;
}

std::vector<segment_report> parse_segments(const json& message, const char* name)
{
    std::vector<segment_report> reports;
    for (const json& item : message.value(name, json::array())) {
        if (!item.is_object()) {
            continue;
        }
        segment_report report;
        report.segment = {integer_or(item, "segment", 0)};
        for (const json& crash : item.value("crashes", json::array())) {
            if (!crash.is_object()) {
                continue;
            }
            report.crashes.push_back({{integer_or(crash, "id", 0)},
                                      age_of(integer_or(crash, "age_ms", 0)),
                                      boolean_or(crash, "alone", false),
                                      boolean_or(crash, "cleared", false)});
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

std::string key_of(const segment_row& row)
{
    return absl::StrCat(segment_key_prefix, row.segment.value, "/", row.crash.value,
                        row.is_cleared ? "/cleared" : "");
}

bool is_segment_key(std::string_view key)
{
    return key.starts_with(segment_key_prefix);
}

std::string to_text(const segment_row& row)
{
    return dump({{"fingerprint", row.segment.value},
                 {"takedown", row.crash.value},
                 {"alone", row.is_alone},
                 {"finished", row.is_cleared},
                 {"at_ms", row.at.count}});
}

absl::StatusOr<segment_row> parse_segment_row(std::string_view text)
{
    const absl::StatusOr<suspect_row> row = parse_suspect_row(text);
    if (!row.ok()) {
        return row.status();
    }
    const bool is_alone = boolean_or(*parse_json(text), "alone", false);
    return segment_row{{row->request.value}, row->takedown, is_alone, row->finished, row->at};
}

segment_report report_of(const segment_row& row, wall_time now)
{
    return {row.segment, {{row.crash, age_of(now.count - row.at.count), row.is_alone, row.is_cleared}}};
}

json ended_json(const std::vector<ended_report>& reports)
{
    json list = json::array();
    for (const ended_report& report : reports) {
        list.push_back(
            {{"id", report.target.value}, {"started", report.started.value}, {"age_ms", report.age.count}});
    }
    return list;
}

std::vector<ended_report> parse_ended(const json& message, const char* name)
{
    std::vector<ended_report> reports;
    for (const json& item : message.value(name, json::array())) {
        const std::string id = item.is_object() ? string_or(item, "id", "") : "";
        if (!id.empty()) {
            reports.push_back(
                {target_id(id), {integer_or(item, "started", 0)}, age_of(integer_or(item, "age_ms", 0))});
        }
    }
    return reports;
}

std::string key_of(const ended_row& row)
{
    return absl::StrCat(ended_key_prefix, row.target.value, "/", row.started.value);
}

bool is_ended_key(std::string_view key)
{
    return key.starts_with(ended_key_prefix);
}

// Daemons that know no such rows take it for one of a request that they never meet.
std::string to_text(const ended_row& row)
{
    return dump({{"fingerprint", 0},
                 {"takedown", 0},
                 {"target", row.target.value},
                 {"started", row.started.value},
                 {"at_ms", row.at.count}});
}

absl::StatusOr<ended_row> parse_ended_row(std::string_view text)
{
    const absl::StatusOr<json> parsed = parse_json(text);
    if (!parsed.ok()) {
        return parsed.status();
    }
    const absl::StatusOr<std::string> target = string_member(*parsed, "target");
    const absl::StatusOr<std::int64_t> started = integer_member(*parsed, "started");
    const absl::StatusOr<std::int64_t> at = integer_member(*parsed, "at_ms");
    absl::Status status = target.status();
    status.Update(started.status());
    status.Update(at.status());
    if (!status.ok()) {
        return status;
    }
    return ended_row{target_id(*target), {*started}, {*at}};
}

ended_report report_of(const ended_row& row, wall_time now)
{
    return {row.target, row.started, age_of(now.count - row.at.count)};
}

std::string key_of(const suspect_row& row)
{
    const std::string last = row.finished ? "finished" : std::to_string(row.takedown.value);
    return absl::StrCat(row.request.value, "/", last);
}

std::string to_text(const suspect_row& row)
{
    return dump({{"fingerprint", row.request.value},
                 {"takedown", row.takedown.value},
                 {"after_event", row.place.delivered.value},
                 {"layer", row.place.layer.value},
                 {"finished", row.finished},
                 {"at_ms", row.at.count}});
}

absl::StatusOr<suspect_row> parse_suspect_row(std::string_view text)
{
    const absl::StatusOr<json> parsed = parse_json(text);
    if (!parsed.ok()) {
        return parsed.status();
    }
    const absl::StatusOr<std::int64_t> fingerprint = integer_member(*parsed, "fingerprint");
    const absl::StatusOr<std::int64_t> takedown = integer_member(*parsed, "takedown");
    const absl::StatusOr<std::int64_t> at = integer_member(*parsed, "at_ms");
    absl::Status status = fingerprint.status();
    status.Update(takedown.status());
    status.Update(at.status());
    if (!status.ok()) {
        return status;
    }
    return suspect_row{
        {*fingerprint}, {*takedown}, parse_place(*parsed), boolean_or(*parsed, "finished", false), {*at}};
}

suspect_report report_of(const suspect_row& row, wall_time now)
{
    suspect_report report;
    report.fingerprint = row.request;
    report.finished = row.finished;
    report.age = age_of(now.count - row.at.count);
    if (!row.finished) {
        report.takedowns.emplace_back(row.takedown, row.place);
    }
    return report;
}

} // namespace dandelionstep
