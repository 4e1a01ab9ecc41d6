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
