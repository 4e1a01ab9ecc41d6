#include "report/explanation.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>

using namespace dandelionstep;

namespace {

std::vector<log_line> lines_of(const std::vector<std::string>& texts)
{
    std::vector<log_line> lines;
    for (const std::string& text : texts) {
        const auto line = parse_log_line(text);
        REQUIRE(line);
        lines.push_back(*line);
    }
    return lines;
}

bool has_finding(const explanation& explained, const std::string& part)
{
    return std::ranges::any_of(explained.findings, [&](const std::string& finding) {
        return finding.find(part) != std::string::npos;
    });
}

bool has_line(const explanation& explained, const std::string& event, const std::string& target)
{
    return std::ranges::any_of(explained.lines, [&](const log_line& line) {
        return line.event == event && (target.empty() || line.field("target") == target);
    });
}

} // namespace

TEST_CASE("a stream that was late is explained by the engine that it lost and by what others knew of that")
{
    const std::string path = " path=\"i-e4=0-4,i-e2=4-8\"";
    const std::string late = "ts_ms=9500 vm=a event=stream_late id=r1 first_ms=40 longest_gap_ms=310" + path;
    const std::string changed =
        "ts_ms=8800 vm=a event=path_changed id=r1 left=i-e1 why=silent silent_ms=250" + path;
    const explanation explained =
        explain_request(lines_of({"ts_ms=9000 vm=b event=target_gone target=i-e1 service=s",
                                  "ts_ms=9100 vm=b event=target_gone target=i-other service=s",
                                  "ts_ms=1000 vm=a event=target_gone target=i-e1 service=s", late, changed,
                                  "ts_ms=8790 vm=a event=engine_silent target=i-e1 asked_ms=60",
                                  "ts_ms=8800 vm=a event=target_died id=r1 target=i-e1 after_event=4",
                                  "ts_ms=8795 vm=a event=engine_pace_changed target=i-e2 pace=3.10",
                                  "ts_ms=8700 vm=a event=request id=r2 status=200"}),
                        "r1");
    CHECK(has_finding(explained, "left i-e1 (silent) after 250 ms"));
    CHECK(has_finding(explained, "i-e1 died while it ran the request, after event 4"));
    CHECK(has_finding(explained, "longest pause 310 ms"));
    CHECK(has_finding(explained, "i-e1 did not answer a"));
    CHECK(has_finding(explained, "i-e2 worked at 3.10 times its usual time"));
    CHECK(has_line(explained, "target_gone", "i-e1"));
    CHECK_FALSE(has_line(explained, "target_gone", "i-other"));
    // What happened long before decided nothing.
    CHECK(std::ranges::none_of(explained.lines, [](const log_line& line) { return line.at.count == 1'000; }));
    CHECK(std::ranges::is_sorted(explained.lines, {}, [](const log_line& line) { return line.at.count; }));
    CHECK(to_text(explained).find("+10 ms a path_changed") != std::string::npos);
}

TEST_CASE("news of the daemon that took the request count, those of others do not")
{
    const explanation explained = explain_request(
        lines_of({"ts_ms=5000 vm=a event=store_lost result=unsure",
                  "ts_ms=5000 vm=b event=stopping unfinished=3",
                  "ts_ms=6000 vm=a event=request id=r1 status=503 result=no_path ms=2 left_ms=900"}),
        "r1");
    CHECK(has_finding(explained, "answered with 503 (no_path)"));
    CHECK(has_finding(explained, "a: store_lost"));
    CHECK_FALSE(has_line(explained, "stopping", ""));
}

TEST_CASE("an id that no line names is explained by nothing")
{
    CHECK(explain_request(lines_of({"ts_ms=1 vm=a event=request id=r1 status=200"}), "r2").lines.empty());
    CHECK(explain_request({}, "r1").findings.empty());
}
