#include "report/explanation.hpp"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <algorithm>
#include <set>

namespace dandelionstep {
namespace {

// News about a target, or about the store, that may have decided something about a request came in this time
// before it.
constexpr std::int64_t news_before_ms = 5'000;
constexpr std::int64_t news_after_ms = 500;

// Where a line names targets: one each, or a path of them.
constexpr std::string_view target_fields[] = {"target", "at_fault", "left", "dead"};
constexpr std::string_view path_fields[] = {"path", "left"};

const std::set<std::string>& target_news()
{
    static const std::set<std::string> events{"target_gone",       "target_changed",      "engine_silent",
                                              "engine_answers",    "engine_pace_changed", "place_order",
                                              "place_order_failed"};
    return events;
}

const std::set<std::string>& daemon_news()
{
    static const std::set<std::string> events{"started",        "stopping",   "stopped",
                                              "config_applied", "store_lost", "store_regained",
                                              "reads_store",    "follows",    "stop_gives_up"};
    return events;
}

void add_targets(const log_line& line, std::set<std::string>& targets)
{
    for (const std::string_view name : target_fields) {
        const std::string value = line.field(name);
        if (!value.empty() && value.find('=') == std::string::npos) {
            targets.insert(value);
        }
    }
    for (const std::string_view name : path_fields) {
        for (const absl::string_view part : absl::StrSplit(line.field(name), ',')) {
            const std::size_t equals = part.find('=');
            if (equals != absl::string_view::npos) {
                targets.insert(std::string(part.substr(0, equals)));
            }
        }
    }
}

bool is_near(const log_line& line, std::int64_t begin, std::int64_t end)
{
    return line.at.count >= begin - news_before_ms && line.at.count <= end + news_after_ms;
}

std::string finding_of(const log_line& line)
{
    if (line.event == "attempt_failed") {
        return absl::StrCat("attempt ", line.field("attempt"), " at ", line.field("target"), " failed (",
                            line.field("how"), ") after ", line.field("ms"), " ms");
    }
    if (line.event == "refused_by_engine") {
        return absl::StrCat("engine ", line.field("target"), " refused with ", line.field("status"),
                            " because of ", line.field("at_fault"));
    }
    if (line.event == "path_changed") {
        return absl::StrCat("the stream left ", line.field("left"), " (", line.field("why"), ") after ",
                            line.field("silent_ms"), " ms without an event");
    }
    if (line.event == "target_died") {
        return absl::StrCat("target ", line.field("target"), " died while it ran the request, after event ",
                            line.field("after_event"));
    }
    if (line.event == "stream_resumed") {
        return absl::StrCat("the stream went on elsewhere after event ", line.field("after_event"), " (",
                            line.field("reason"), ")");
    }
    if (line.event == "stream_cut") {
        return absl::StrCat("the stream was cut after event ", line.field("after_event"), " (",
                            line.field("reason"), ")");
    }
    if (line.event == "stream_late") {
        return absl::StrCat("the stream was late: first event after ", line.field("first_ms"),
                            " ms, longest pause ", line.field("longest_gap_ms"), " ms");
    }
    if (line.event == "request") {
        return absl::StrCat("answered with ", line.field("status"), " (", line.field("result"), ") after ",
                            line.field("ms"), " ms, ", line.field("left_ms"), " ms before its deadline");
    }
    return "";
}

std::string finding_about(const log_line& line, std::int64_t begin)
{
    const std::string before = absl::StrCat(" ", line.at.count - begin, " ms from its first line");
    if (line.event == "target_gone") {
        return absl::StrCat("target ", line.field("target"), " was no longer registered,", before);
    }
    if (line.event == "target_changed" && line.field("leaving") == "yes") {
        return absl::StrCat("target ", line.field("target"), " was known to leave,", before);
    }
    if (line.event == "engine_silent") {
        return absl::StrCat("target ", line.field("target"), " did not answer ", line.vm, ",", before);
    }
    if (line.event == "engine_pace_changed") {
        return absl::StrCat("target ", line.field("target"), " worked at ", line.field("pace"),
                            " times its usual time,", before);
    }
    if (line.event == "store_lost" || line.event == "stopping") {
        return absl::StrCat(line.vm, ": ", line.event, ",", before);
    }
    return "";
}

void add_finding(explanation& explained, std::string finding)
{
    if (!finding.empty() && std::ranges::find(explained.findings, finding) == explained.findings.end()) {
        explained.findings.push_back(std::move(finding));
    }
}

} // namespace

explanation explain_request(const std::vector<log_line>& lines, std::string_view id)
{
    explanation explained;
    std::set<std::string> targets;
    std::set<std::string> daemons;
    for (const log_line& line : lines) {
        if (line.field("id") == id) {
            explained.lines.push_back(line);
            add_targets(line, targets);
            daemons.insert(line.vm);
        }
    }
    if (explained.lines.empty()) {
        return explained;
    }
    const auto by_time = [](const log_line& line) { return line.at.count; };
    std::ranges::stable_sort(explained.lines, {}, by_time);
    const std::int64_t begin = explained.lines.front().at.count;
    const std::int64_t end = explained.lines.back().at.count;
    for (const log_line& line : explained.lines) {
        add_finding(explained, finding_of(line));
    }
    for (const log_line& line : lines) {
        const bool about_target =
            target_news().contains(line.event) && targets.contains(line.field("target"));
        const bool about_daemon = daemon_news().contains(line.event) && daemons.contains(line.vm);
        if (is_near(line, begin, end) && (about_target || about_daemon)) {
            explained.lines.push_back(line);
            add_finding(explained, finding_about(line, begin));
        }
    }
    std::ranges::stable_sort(explained.lines, {}, by_time);
    return explained;
}

std::string to_text(const explanation& explained)
{
    std::string text;
    for (const std::string& finding : explained.findings) {
        absl::StrAppend(&text, "- ", finding, "\n");
    }
    if (explained.lines.empty()) {
        return text;
    }
    absl::StrAppend(&text, "\n");
    const std::int64_t begin = explained.lines.front().at.count;
    for (const log_line& line : explained.lines) {
        absl::StrAppend(&text, "+", line.at.count - begin, " ms ", line.vm, " ", line.event);
        for (const auto& [key, value] : line.fields) {
            absl::StrAppend(&text, " ", key, "=", value);
        }
        absl::StrAppend(&text, "\n");
    }
    return text;
}

} // namespace dandelionstep
