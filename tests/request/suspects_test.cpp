#include "request/suspects.hpp"

#include <doctest/doctest.h>
#include <random>

using namespace dandelionstep;

namespace {

constexpr time_point start{10'000'000};
constexpr time_point settled = start + suspect_limits{}.propagation_time;
constexpr request_fingerprint crasher{1};
constexpr request_fingerprint innocent{2};

constexpr crash_place same_place{token_count{17}, layer_index{4}};

crash_id death(std::int64_t number)
{
    return crash_id{number};
}

suspect_table after_deaths(request_fingerprint request, int deaths)
{
    suspect_table table;
    for (int i = 1; i <= deaths; ++i) {
        note_crash(table, request, death(i), same_place, start);
    }
    return table;
}

std::vector<suspect_report> random_reports(std::mt19937_64& random)
{
    std::vector<suspect_report> reports;
    for (int i = 0; i < 20; ++i) {
        suspect_report report{
            request_fingerprint{static_cast<std::int64_t>(random() % 6)}, {}, {}, random() % 5 == 0};
        for (std::uint64_t deaths = 1 + random() % 3; deaths > 0; --deaths) {
            report.takedowns.emplace_back(
                death(static_cast<std::int64_t>(random() % 9)),
                crash_place{token_count{static_cast<std::int64_t>(random() % 3)}, {}});
        }
        report.age = {static_cast<std::int64_t>(random() % 1000)};
        reports.push_back(report);
    }
    return reports;
}

// What a table says of its suspects, without the ages.
std::map<std::int64_t, std::pair<std::map<crash_id, crash_place>, bool>> contents(const suspect_table& table)
{
    std::map<std::int64_t, std::pair<std::map<crash_id, crash_place>, bool>> all;
    for (const auto& [fingerprint, each] : table.suspects) {
        all[fingerprint.value] = {each.takedowns, each.finished};
    }
    return all;
}

} // namespace

TEST_CASE("a request is suspected from its first takedown and condemned at its third")
{
    using standing = suspect_status;
    struct row {
        int deaths;
        standing expected;
    };
    const std::vector<row> rows{{0, standing::clear},
                                {1, standing::suspected},
                                {2, standing::suspected},
                                {3, standing::blocked},
                                {9, standing::blocked}};
    for (const row& each : rows) {
        CAPTURE(each.deaths);
        CHECK((suspect_status_of(after_deaths(crasher, each.deaths), crasher, 0, settled) == each.expected));
    }
    const suspect_table two = after_deaths(crasher, 2);
    CHECK((suspect_status_of(two, innocent, 0, start) == standing::clear));
    CHECK((suspect_status_of(two, innocent, 1, start) == standing::suspected));
}

TEST_CASE("before the news of a death has reached every daemon, only six deaths condemn")
{
    CHECK((suspect_status_of(after_deaths(crasher, 5), crasher, 0, start) == suspect_status::suspected));
    CHECK((suspect_status_of(after_deaths(crasher, 6), crasher, 0, start) == suspect_status::blocked));
}

TEST_CASE("of two requests, the one aboard more of the same deaths explains the other's")
{
    suspect_table table = after_deaths(crasher, 3);
    for (int i = 1; i <= 3; ++i) {
        note_crash(table, innocent, death(i), same_place, start);
    }
    // Both were aboard all three: neither is condemned before another death tells them apart.
    CHECK((suspect_status_of(table, crasher, 0, settled) == suspect_status::suspected));
    CHECK((suspect_status_of(table, innocent, 0, settled) == suspect_status::suspected));
    note_crash(table, crasher, death(4), same_place, start);
    CHECK((suspect_status_of(table, crasher, 0, settled) == suspect_status::blocked));
    CHECK((suspect_status_of(table, innocent, 0, settled) == suspect_status::suspected));

    SUBCASE("a request that was answered whole explains nothing")
    {
        note_finished(table, crasher, settled);
        CHECK((suspect_status_of(table, innocent, 0, settled) == suspect_status::blocked));
    }
    SUBCASE("a death of its own is not explained")
    {
        note_crash(table, innocent, death(9), same_place, start);
        CHECK((suspect_status_of(table, innocent, 0, settled) == suspect_status::blocked));
    }
    SUBCASE("two that always went together are both condemned in the end")
    {
        for (int i = 4; i <= 6; ++i) {
            note_crash(table, crasher, death(i), same_place, start);
            note_crash(table, innocent, death(i), same_place, start);
        }
        CHECK((suspect_status_of(table, crasher, 0, settled) == suspect_status::blocked));
        CHECK((suspect_status_of(table, innocent, 0, settled) == suspect_status::blocked));
    }
}

TEST_CASE("a request that goes on between the deaths of its targets is condemned later")
{
    suspect_table table;
    for (std::int64_t i = 1; i <= 5; ++i) {
        note_crash(table, innocent, death(i), {token_count{i}, {}}, start);
        CHECK((suspect_status_of(table, innocent, 0, start) == suspect_status::suspected));
    }
    note_crash(table, innocent, death(6), {token_count{6}, {}}, start);
    CHECK((suspect_status_of(table, innocent, 0, start) == suspect_status::blocked));
}

TEST_CASE("deaths of different stages at one token are different places")
{
    suspect_table table;
    for (std::int64_t i = 1; i <= 3; ++i) {
        note_crash(table, innocent, death(i), {same_place.delivered, layer_index{i}}, start);
    }
    CHECK((suspect_status_of(table, innocent, 0, settled) == suspect_status::suspected));
}

TEST_CASE("the same incarnation of a target counts once, its next one again")
{
    suspect_table table;
    const crash_id first = crash_id_of(target_id("stage0a"), incarnation{1});
    note_crash(table, crasher, first, same_place, start);
    note_crash(table, crasher, first, same_place, start);
    CHECK(table.suspects.at(crasher).takedowns.size() == 1);
    note_crash(table, crasher, crash_id_of(target_id("stage0a"), incarnation{2}), same_place, start);
    CHECK(table.suspects.at(crasher).takedowns.size() == 2);
}

TEST_CASE("a request that was answered whole is never condemned")
{
    suspect_table table = after_deaths(innocent, 2);
    note_finished(table, innocent, start);
    note_crash(table, innocent, death(7), same_place, start);
    CHECK((suspect_status_of(table, innocent, 0, start) == suspect_status::clear));
}

TEST_CASE("a request that was answered shortly before its first death is held two deaths later than another")
{
    suspect_table table;
    note_finished(table, innocent, start);
    for (int i = 1; i <= 4; ++i) {
        note_crash(table, innocent, death(i), same_place, start);
    }
    CHECK((suspect_status_of(table, innocent, 0, settled) == suspect_status::suspected));
    CHECK(held_for(table, innocent, 0, settled) == milliseconds{0});
    note_crash(table, innocent, death(5), same_place, start);
    CHECK((suspect_status_of(table, innocent, 0, settled) == suspect_status::blocked));
}

TEST_CASE("an answer long before the deaths does not speak for a request")
{
    suspect_table table;
    note_finished(table, crasher, start);
    const time_point later = start + table.answered.retention;
    for (int i = 1; i <= 3; ++i) {
        note_crash(table, crasher, death(i), same_place, later);
    }
    CHECK((suspect_status_of(table, crasher, 0, later + table.limits.propagation_time) ==
           suspect_status::blocked));
}

TEST_CASE("a suspicion lapses")
{
    suspect_table table = after_deaths(crasher, 3);
    const milliseconds lifetime = table.limits.lifetime;
    CHECK(expires_in(table, crasher, start) == lifetime);
    CHECK((suspect_status_of(table, crasher, 0, start + lifetime - milliseconds{1}) ==
           suspect_status::blocked));
    CHECK((suspect_status_of(table, crasher, 0, start + lifetime) == suspect_status::clear));
    expire(table, start + lifetime);
    CHECK(table.suspects.empty());
}

TEST_CASE("merging is commutative, associative and idempotent")
{
    std::mt19937_64 random(7);
    for (int i = 0; i < 500; ++i) {
        CAPTURE(i);
        const auto a = random_reports(random);
        const auto b = random_reports(random);
        suspect_table ab;
        merge(ab, a, start);
        merge(ab, b, start);
        suspect_table ba;
        merge(ba, b, start);
        merge(ba, a, start);
        CHECK(contents(ab) == contents(ba));
        suspect_table through_other;
        merge(through_other, reports_of(ab, 1000, start), start);
        CHECK(contents(through_other) == contents(ab));
        CHECK_FALSE(merge(ab, a, start));
        CHECK_FALSE(merge(ab, b, start));
    }
}

TEST_CASE("telling each other of a suspect does not keep it alive")
{
    suspect_table here = after_deaths(crasher, 3);
    suspect_table there;
    constexpr milliseconds transit{400};
    time_point now = start;
    const time_point end = start + here.limits.lifetime * 2;
    while (now < end) {
        const auto sent = reports_of(here, 10, now);
        now = now + transit;
        merge(there, sent, now);
        const auto back = reports_of(there, 10, now);
        now = now + transit;
        merge(here, back, now);
    }
    CHECK(here.suspects.empty());
    CHECK(there.suspects.empty());
}

TEST_CASE("the table is bounded and keeps the most suspicious")
{
    suspect_table table = after_deaths(crasher, 3);
    table.limits.max_suspects = 10;
    for (std::int64_t i = 100; i < 1000; ++i) {
        note_crash(table, request_fingerprint{i}, death(i), same_place, start);
    }
    CHECK(table.suspects.size() == 10);
    CHECK((suspect_status_of(table, crasher, 0, settled) == suspect_status::blocked));
    CHECK(reports_of(table, 4, start).size() == 4);
}

TEST_CASE(
    "a suspect looks for a place of its own, and nobody joins a running suspect unless there is no other")
{
    const std::set<target_id> excluded{target_id("a")};
    const std::set<target_id> busy{target_id("b")};
    const std::set<target_id> suspects{target_id("c")};
    const auto suspected = targets_to_avoid(suspect_status::suspected, excluded, busy, suspects);
    REQUIRE(suspected.size() == 3);
    CHECK(suspected[0] == std::set<target_id>{target_id("a"), target_id("b"), target_id("c")});
    CHECK(suspected[1] == std::set<target_id>{target_id("a"), target_id("c")});
    CHECK(suspected[2] == excluded);
    CHECK(targets_to_avoid(suspect_status::clear, excluded, busy, suspects).size() == 2);
    CHECK(targets_to_avoid(suspect_status::clear, excluded, busy, {}) ==
          std::vector<std::set<target_id>>{excluded});
}

TEST_CASE("a request whose third death is not settled yet is held, and condemned when it is")
{
    const suspect_table two = after_deaths(crasher, 2);
    CHECK(held_for(two, crasher, 0, start) == milliseconds{0});
    const suspect_table three = after_deaths(crasher, 3);
    CHECK(held_for(three, crasher, 0, start) == three.limits.propagation_time);
    CHECK(held_for(three, crasher, 0, settled) == expires_in(three, crasher, settled));
    CHECK(held_for(three, innocent, 0, settled) == milliseconds{0});
}

TEST_CASE("a death that is not confirmed yet holds a request that has ended two targets")
{
    const suspect_table two = after_deaths(crasher, 2);
    CHECK(held_for(two, crasher, 1, settled) == two.limits.propagation_time);
    CHECK(held_for(after_deaths(crasher, 1), crasher, 1, settled) == milliseconds{0});
}

TEST_CASE("a request that others were aboard with all the time, or that was answered whole, is not held")
{
    suspect_table table = after_deaths(crasher, 3);
    for (int i = 1; i <= 3; ++i) {
        note_crash(table, innocent, death(i), same_place, start);
    }
    CHECK(held_for(table, crasher, 0, start) == milliseconds{0});
    suspect_table finished = after_deaths(innocent, 3);
    note_finished(finished, innocent, start);
    CHECK(held_for(finished, innocent, 0, start) == milliseconds{0});
}

TEST_CASE("a report without deaths clears a known suspect and makes no new one")
{
    suspect_table table = after_deaths(innocent, 3);
    const suspect_report cleared{innocent, {}, {0}, true};
    CHECK(merge(table, {cleared}, settled));
    CHECK((suspect_status_of(table, innocent, 0, settled) == suspect_status::clear));
    CHECK_FALSE(merge(table, {{crasher, {}, {0}, true}}, settled));
    CHECK_FALSE(table.suspects.contains(crasher));
}

TEST_CASE("requests of different callers, paths or bodies have different fingerprints")
{
    const organisation_id one("one");
    const request_fingerprint usual = fingerprint_of(one, "/a/1", "body");
    CHECK(usual == fingerprint_of(one, "/a/1", "body"));
    CHECK(usual != fingerprint_of(organisation_id("two"), "/a/1", "body"));
    CHECK(usual != fingerprint_of(one, "/a/2", "body"));
    CHECK(usual != fingerprint_of(one, "/a/1", "other"));
    CHECK(fingerprint_of(organisation_id("a"), "/b", "c") != fingerprint_of(organisation_id(""), "a/b", "c"));
    CHECK(fingerprint_of(organisation_id(""), "/a", "b\nc") !=
          fingerprint_of(organisation_id(""), "/a\nb", "c"));
}
