#include "request/suspects.hpp"

#include <doctest/doctest.h>
#include <random>

using namespace dandelionstep;

namespace {

constexpr time_point start{10'000'000};
constexpr time_point propagated = start + suspect_limits{}.propagation_time;
constexpr request_fingerprint crasher{1};
constexpr request_fingerprint harmless{2};

constexpr crash_place same_place{token_count{17}, layer_index{4}};

crash_id crash(std::int64_t number)
{
    return crash_id{number};
}

suspect_table after_crashes(request_fingerprint request, int crashes)
{
    suspect_table table;
    for (int i = 1; i <= crashes; ++i) {
        note_crash(table, request, crash(i), same_place, start);
    }
    return table;
}

std::vector<suspect_report> random_reports(std::mt19937_64& random)
{
    std::vector<suspect_report> reports;
    for (int i = 0; i < 20; ++i) {
        suspect_report report{
            request_fingerprint{static_cast<std::int64_t>(random() % 6)}, {}, {}, random() % 5 == 0};
        for (std::uint64_t crashes = 1 + random() % 3; crashes > 0; --crashes) {
            report.takedowns.emplace_back(
                crash(static_cast<std::int64_t>(random() % 9)),
                crash_place{token_count{static_cast<std::int64_t>(random() % 3)}, {}});
        }
        report.age = {static_cast<std::int64_t>(random() % 1000)};
        reports.push_back(report);
    }
    return reports;
}

// The suspects of a table without their ages.
std::map<std::int64_t, std::pair<std::map<crash_id, crash_place>, bool>> contents(const suspect_table& table)
{
    std::map<std::int64_t, std::pair<std::map<crash_id, crash_place>, bool>> all;
    for (const auto& [fingerprint, each] : table.suspects) {
        all[fingerprint.value] = {each.takedowns, each.finished};
    }
    return all;
}

} // namespace

TEST_CASE("a request is suspected from its first crash on and blocked at its third")
{
    using standing = suspect_status;
    struct row {
        int crashes;
        standing expected;
    };
    const std::vector<row> rows{{0, standing::clear},
                                {1, standing::suspected},
                                {2, standing::suspected},
                                {3, standing::blocked},
                                {9, standing::blocked}};
    for (const row& each : rows) {
        CAPTURE(each.crashes);
        CHECK((suspect_status_of(after_crashes(crasher, each.crashes), crasher, 0, propagated) ==
               each.expected));
    }
    const suspect_table two = after_crashes(crasher, 2);
    CHECK((suspect_status_of(two, harmless, 0, start) == standing::clear));
    CHECK((suspect_status_of(two, harmless, 1, start) == standing::suspected));
}

TEST_CASE("before the last crash is known to every daemon, only six crashes block a request")
{
    CHECK((suspect_status_of(after_crashes(crasher, 5), crasher, 0, start) == suspect_status::suspected));
    CHECK((suspect_status_of(after_crashes(crasher, 6), crasher, 0, start) == suspect_status::blocked));
}

TEST_CASE("of two requests in flight during the same crashes, the one with more crashes explains the other's")
{
    suspect_table table = after_crashes(crasher, 3);
    for (int i = 1; i <= 3; ++i) {
        note_crash(table, harmless, crash(i), same_place, start);
    }
    // Both were in flight during all three crashes: neither is blocked until another crash tells them apart.
    CHECK((suspect_status_of(table, crasher, 0, propagated) == suspect_status::suspected));
    CHECK((suspect_status_of(table, harmless, 0, propagated) == suspect_status::suspected));
    note_crash(table, crasher, crash(4), same_place, start);
    CHECK((suspect_status_of(table, crasher, 0, propagated) == suspect_status::blocked));
    CHECK((suspect_status_of(table, harmless, 0, propagated) == suspect_status::suspected));

    SUBCASE("a request that was answered completely explains no crash of another one")
    {
        note_finished(table, crasher, propagated);
        CHECK((suspect_status_of(table, harmless, 0, propagated) == suspect_status::blocked));
    }
    SUBCASE("a crash without the other request in flight is not explained")
    {
        note_crash(table, harmless, crash(9), same_place, start);
        CHECK((suspect_status_of(table, harmless, 0, propagated) == suspect_status::blocked));
    }
    SUBCASE("two requests that were in flight during the same six crashes are both blocked")
    {
        for (int i = 4; i <= 6; ++i) {
            note_crash(table, crasher, crash(i), same_place, start);
            note_crash(table, harmless, crash(i), same_place, start);
        }
        CHECK((suspect_status_of(table, crasher, 0, propagated) == suspect_status::blocked));
        CHECK((suspect_status_of(table, harmless, 0, propagated) == suspect_status::blocked));
    }
}

TEST_CASE("a request that makes progress between the crashes of its targets is blocked later")
{
    suspect_table table;
    for (std::int64_t i = 1; i <= 5; ++i) {
        note_crash(table, harmless, crash(i), {token_count{i}, {}}, start);
        CHECK((suspect_status_of(table, harmless, 0, start) == suspect_status::suspected));
    }
    note_crash(table, harmless, crash(6), {token_count{6}, {}}, start);
    CHECK((suspect_status_of(table, harmless, 0, start) == suspect_status::blocked));
}

TEST_CASE("crashes of different stages at the same token are different places")
{
    suspect_table table;
    for (std::int64_t i = 1; i <= 3; ++i) {
        note_crash(table, harmless, crash(i), {same_place.delivered, layer_index{i}}, start);
    }
    CHECK((suspect_status_of(table, harmless, 0, propagated) == suspect_status::suspected));
}

TEST_CASE("the crash of one incarnation of a target counts once, that of the next incarnation again")
{
    suspect_table table;
    const crash_id first = crash_id_of(target_id("stage0a"), incarnation{1});
    note_crash(table, crasher, first, same_place, start);
    note_crash(table, crasher, first, same_place, start);
    CHECK(table.suspects.at(crasher).takedowns.size() == 1);
    note_crash(table, crasher, crash_id_of(target_id("stage0a"), incarnation{2}), same_place, start);
    CHECK(table.suspects.at(crasher).takedowns.size() == 2);
}

TEST_CASE("a suspect that was answered completely is never blocked")
{
    suspect_table table = after_crashes(harmless, 2);
    note_finished(table, harmless, start);
    note_crash(table, harmless, crash(7), same_place, start);
    CHECK((suspect_status_of(table, harmless, 0, start) == suspect_status::clear));
}

TEST_CASE(
    "a request that was answered shortly before its first crash is blocked two crashes later than another")
{
    suspect_table table;
    note_finished(table, harmless, start);
    for (int i = 1; i <= 4; ++i) {
        note_crash(table, harmless, crash(i), same_place, start);
    }
    CHECK((suspect_status_of(table, harmless, 0, propagated) == suspect_status::suspected));
    CHECK(held_for(table, harmless, 0, propagated) == milliseconds{0});
    note_crash(table, harmless, crash(5), same_place, start);
    CHECK((suspect_status_of(table, harmless, 0, propagated) == suspect_status::blocked));
}

TEST_CASE("an answer long before the crashes does not count in favour of a request")
{
    suspect_table table;
    note_finished(table, crasher, start);
    const time_point later = start + table.answered.retention;
    for (int i = 1; i <= 3; ++i) {
        note_crash(table, crasher, crash(i), same_place, later);
    }
    CHECK((suspect_status_of(table, crasher, 0, later + table.limits.propagation_time) ==
           suspect_status::blocked));
}

TEST_CASE("a suspicion expires")
{
    suspect_table table = after_crashes(crasher, 3);
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

TEST_CASE("a suspect that daemons report to each other still expires")
{
    suspect_table here = after_crashes(crasher, 3);
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

TEST_CASE("the table is bounded and keeps the most suspicious requests")
{
    suspect_table table = after_crashes(crasher, 3);
    table.limits.max_suspects = 10;
    for (std::int64_t i = 100; i < 1000; ++i) {
        note_crash(table, request_fingerprint{i}, crash(i), same_place, start);
    }
    CHECK(table.suspects.size() == 10);
    CHECK((suspect_status_of(table, crasher, 0, propagated) == suspect_status::blocked));
    CHECK(reports_of(table, 4, start).size() == 4);
}

TEST_CASE(
    "a suspect prefers idle targets, and no request joins a running suspect while there is another target")
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

TEST_CASE("a request is held while its third crash is not known to every daemon, and then blocked")
{
    const suspect_table two = after_crashes(crasher, 2);
    CHECK(held_for(two, crasher, 0, start) == milliseconds{0});
    const suspect_table three = after_crashes(crasher, 3);
    CHECK(held_for(three, crasher, 0, start) == three.limits.propagation_time);
    CHECK(held_for(three, crasher, 0, propagated) == expires_in(three, crasher, propagated));
    CHECK(held_for(three, harmless, 0, propagated) == milliseconds{0});
}

TEST_CASE("an unconfirmed crash holds a request that has two confirmed crashes")
{
    const suspect_table two = after_crashes(crasher, 2);
    CHECK(held_for(two, crasher, 1, propagated) == two.limits.propagation_time);
    CHECK(held_for(after_crashes(crasher, 1), crasher, 1, propagated) == milliseconds{0});
}

TEST_CASE("a request is not held if another one has all of its crashes, or if it was answered completely")
{
    suspect_table table = after_crashes(crasher, 3);
    for (int i = 1; i <= 3; ++i) {
        note_crash(table, harmless, crash(i), same_place, start);
    }
    CHECK(held_for(table, crasher, 0, start) == milliseconds{0});
    suspect_table finished = after_crashes(harmless, 3);
    note_finished(finished, harmless, start);
    CHECK(held_for(finished, harmless, 0, start) == milliseconds{0});
}

TEST_CASE("a report without crashes clears a known suspect and adds no new one")
{
    suspect_table table = after_crashes(harmless, 3);
    const suspect_report cleared{harmless, {}, {0}, true};
    CHECK(merge(table, {cleared}, propagated));
    CHECK((suspect_status_of(table, harmless, 0, propagated) == suspect_status::clear));
    CHECK_FALSE(merge(table, {{crasher, {}, {0}, true}}, propagated));
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
