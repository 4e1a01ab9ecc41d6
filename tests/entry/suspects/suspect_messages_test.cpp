#include "common/json.hpp"
#include "entry/suspects/suspect_messages.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;

namespace {

const suspect_row death_row{{7}, {9}, {token_count{3}, layer_index{1}}, false, {5'000}};

} // namespace

TEST_CASE("suspects are read as they were written")
{
    const std::vector<suspect_report> reports{
        {{1}, {{crash_id{2}, {token_count{3}, layer_index{4}}}, {crash_id{5}, {}}}, {60}, false},
        {{6}, {}, {0}, true}};
    const json message = {{"suspects", suspects_json(reports)}};
    const std::vector<suspect_report> read = parse_suspects(message, "suspects");
    REQUIRE(read.size() == 2);
    for (std::size_t i = 0; i < 2; ++i) {
        CHECK(read[i].fingerprint == reports[i].fingerprint);
        CHECK(read[i].takedowns == reports[i].takedowns);
        CHECK(read[i].age == reports[i].age);
        CHECK(read[i].finished == reports[i].finished);
    }
}

TEST_CASE("what is no suspect in a message is left out")
{
    CHECK(parse_suspects(json::object(), "suspects").empty());
    CHECK(parse_suspects({{"suspects", json::array({1, "x", nullptr})}}, "suspects").empty());
    const json odd = {{"suspects", json::array({{{"fingerprint", "x"}, {"age_ms", -5}}})}};
    const std::vector<suspect_report> read = parse_suspects(odd, "suspects");
    REQUIRE(read.size() == 1);
    CHECK(read.front().age == milliseconds{0});
}

TEST_CASE("a row of the store is read as it was written, under a key of its own")
{
    const absl::StatusOr<suspect_row> read = parse_suspect_row(to_text(death_row));
    REQUIRE(read.ok());
    CHECK(key_of(*read) == key_of(death_row));
    CHECK(read->place == death_row.place);
    suspect_row cleared = death_row;
    cleared.finished = true;
    CHECK(key_of(cleared) != key_of(death_row));
    CHECK_FALSE(parse_suspect_row("{}").ok());
    CHECK_FALSE(parse_suspect_row("no JSON").ok());
}

TEST_CASE("a row tells a death with its age, whatever the reader's clock says")
{
    const suspect_report later = report_of(death_row, {5'200});
    CHECK(later.age == milliseconds{200});
    CHECK(later.takedowns.size() == 1);
    CHECK(report_of(death_row, {1'000}).age == milliseconds{0});
}

TEST_CASE("suspected segments are read as they were written")
{
    const std::vector<segment_report> reports{
        {{1}, {{crash_id{2}, {60}, true, false}, {crash_id{3}, {70}, false, true}}}, {{4}, {}}};
    const json message = {{"segments", segments_json(reports)}};
    const std::vector<segment_report> read = parse_segments(message, "segments");
    REQUIRE(read.size() == 2);
    CHECK(read[0].segment == reports[0].segment);
    REQUIRE(read[0].crashes.size() == 2);
    for (std::size_t i = 0; i < 2; ++i) {
        CHECK(read[0].crashes[i].id == reports[0].crashes[i].id);
        CHECK(read[0].crashes[i].age == reports[0].crashes[i].age);
        CHECK(read[0].crashes[i].is_alone == reports[0].crashes[i].is_alone);
        CHECK(read[0].crashes[i].is_cleared == reports[0].crashes[i].is_cleared);
    }
    CHECK(read[1].crashes.empty());
}

TEST_CASE("what is no suspected segment in a message is left out")
{
    CHECK(parse_segments(json::object(), "segments").empty());
    CHECK(parse_segments({{"segments", json::array({1, "x", nullptr})}}, "segments").empty());
    const json odd = {{"segments", json::array({{{"segment", 7}, {"crashes", json::array({1, "x"})}}})}};
    REQUIRE(parse_segments(odd, "segments").size() == 1);
    CHECK(parse_segments(odd, "segments").front().crashes.empty());
}

TEST_CASE("a row about a segment is read as it was written, and harmless to a daemon that knows no segments")
{
    const segment_row crashed{{7}, {9}, true, false, {5'000}};
    segment_row cleared = crashed;
    cleared.is_cleared = true;
    const absl::StatusOr<segment_row> read = parse_segment_row(to_text(crashed));
    REQUIRE(read.ok());
    CHECK(key_of(*read) == key_of(crashed));
    CHECK(read->is_alone);
    CHECK(key_of(cleared) != key_of(crashed));
    CHECK(is_segment_key(key_of(crashed)));
    CHECK_FALSE(is_segment_key(key_of(death_row)));
    CHECK(parse_suspect_row(to_text(crashed)).ok());
    CHECK(report_of(cleared, {5'200}).crashes.front().age == milliseconds{200});
    CHECK(report_of(cleared, {5'200}).crashes.front().is_cleared);
    CHECK_FALSE(parse_segment_row("{}").ok());
}

TEST_CASE("ended processes are read as they were written, from messages and rows")
{
    const std::vector<ended_report> reports{{target_id("e/1"), {70}, {80}}};
    const json message = {{"ended", ended_json(reports)}};
    const std::vector<ended_report> read = parse_ended(message, "ended");
    REQUIRE(read.size() == 1);
    CHECK(read.front().target == reports.front().target);
    CHECK(read.front().started == reports.front().started);
    CHECK(read.front().age == reports.front().age);
    CHECK(parse_ended({{"ended", json::array({1, "x", json::object()})}}, "ended").empty());
    const ended_row row{target_id("e/1"), {70}, {5'000}};
    const absl::StatusOr<ended_row> parsed = parse_ended_row(to_text(row));
    REQUIRE(parsed.ok());
    CHECK(key_of(*parsed) == key_of(row));
    CHECK(is_ended_key(key_of(row)));
    CHECK(report_of(*parsed, {5'300}).age == milliseconds{300});
    CHECK(parse_suspect_row(to_text(row)).ok());
    CHECK_FALSE(parse_ended_row("{}").ok());
}
