// Guards against daemons that go back to an older configuration or end up with different records. Both can
// come about when changes and snapshots arrive late, twice or out of order, or when a snapshot's pages were
// read at different times.
#include "configuration/fake_table.hpp"
#include "configuration/start_check.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr int runs = 400;
constexpr std::int64_t changes = 25;

// All accepted changes and, by revision, the state after each of them.
struct full_history {
    std::vector<accepted_change> log;
    std::vector<configuration_snapshot> states;
};

full_history make_history(std::mt19937_64& random)
{
    full_history history;
    std::map<record_key, configuration_record> records;
    history.states.push_back({revision{0}, {}, 0});
    for (std::int64_t number = 1; number <= changes; ++number) {
        accepted_change change{.number = revision{number}, .records = {}, .digest = 0};
        for (std::uint64_t i = 0; i <= random() % 3; ++i) {
            configuration_record record =
                drain_record("e" + std::to_string(i) + std::to_string(random() % 5));
            record.deleted = random() % 3 == 0;
            record.body["note"] = random() % 100;
            record.changed_at = change.number;
            records[record.key] = record;
            change.records.push_back(record);
        }
        configuration_snapshot state{change.number, {}, 0};
        for (const auto& [key, record] : records) {
            state.records.push_back(record);
            state.digest += digest_of(key, record.changed_at);
        }
        change.digest = state.digest;
        history.log.push_back(change);
        history.states.push_back(std::move(state));
    }
    return history;
}

// A snapshot that mixes the records of two revisions, as if its pages were read at different times.
configuration_snapshot mixed_snapshot(const full_history& history, std::mt19937_64& random)
{
    configuration_snapshot mixed = history.states[random() % history.states.size()];
    const configuration_snapshot& other = history.states[random() % history.states.size()];
    const auto half = static_cast<std::ptrdiff_t>(mixed.records.size() / 2);
    mixed.records.resize(static_cast<std::size_t>(half));
    if (other.records.size() > mixed.records.size()) {
        mixed.records.insert(mixed.records.end(), other.records.begin() + half, other.records.end());
    }
    return mixed;
}

apply_result apply_random_update(applied_configuration& state, const full_history& history,
                                 std::mt19937_64& random)
{
    switch (random() % 6) {
    case 0:
        return apply_snapshot(state, history.states[random() % history.states.size()]);
    case 1:
        return apply_snapshot(state, mixed_snapshot(history, random));
    default:
        return apply_change(state, history.log[random() % history.log.size()]);
    }
}

void check_is(const applied_configuration& state, const configuration_snapshot& expected)
{
    CHECK(state.number == expected.number);
    REQUIRE(state.records.size() == expected.records.size());
    std::set<target_id> draining;
    for (const configuration_record& record : expected.records) {
        CHECK(to_json(state.records.at(record.key)) == to_json(record));
        if (!record.deleted) {
            draining.insert(target_id(record.key.name));
        }
    }
    CHECK(state.declared.draining == draining);
}

} // namespace

TEST_CASE(
    "the revision never goes down, and its records are right, with late, repeated and inconsistent updates")
{
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        const full_history history = make_history(random);
        applied_configuration state;
        for (int i = 0; i < 120; ++i) {
            const revision before = state.number;
            apply_random_update(state, history, random);
            REQUIRE(state.number >= before);
            if (state.number.value >= 0) {
                check_is(state, history.states[static_cast<std::size_t>(state.number.value)]);
            }
        }
        apply_snapshot(state, history.states.back());
        check_is(state, history.states.back());
    }
}

TEST_CASE("a starting daemon serves only with the highest revision that the table or a peer reported")
{
    struct row {
        const char* name;
        bool store_asked;
        bool peers_asked;
        std::int64_t highest;
        std::int64_t applied;
        bool expected;
    };
    const row rows[] = {{"store and peers asked, newest applied", true, true, 9, 9, true},
                        {"peer has a newer one", true, true, 9, 5, false},
                        {"peers not asked yet", true, false, 5, 5, false},
                        {"store not asked yet", false, true, 5, 5, false},
                        {"no revision anywhere", true, true, 0, -1, false},
                        {"nothing declared yet", true, true, 0, 0, false}};
    for (const row& each : rows) {
        CAPTURE(each.name);
        start_check check{each.store_asked, each.peers_asked, revision{each.highest}, false};
        CHECK(may_serve(check, revision{each.applied}) == each.expected);
    }
}

TEST_CASE("a newer revision elsewhere does not take a serving daemon out of service")
{
    start_check check{true, true, revision{5}, false};
    REQUIRE(may_serve(check, revision{5}));
    observe_revision(check, revision{9});
    CHECK(may_serve(check, revision{5}));
}

TEST_CASE("a record that this build can't read keeps what it last declared")
{
    applied_configuration state;
    configuration_record first = drain_record("e1");
    first.changed_at = revision{1};
    apply_snapshot(state, {revision{1}, {first}, digest_of(first.key, revision{1})});
    configuration_record newer = first;
    newer.schema_version = newest_schema_version + 1;
    newer.deleted = true;
    newer.changed_at = revision{2};
    const records_digest digest = digest_of(newer.key, revision{2});
    SUBCASE("by a change")
    {
        apply_change(state, {revision{2}, {newer}, digest});
    }
    SUBCASE("by a snapshot")
    {
        apply_snapshot(state, {revision{2}, {newer}, digest});
    }
    CHECK(state.number == revision{2});
    CHECK(state.declared.draining.contains(target_id("e1")));
    CHECK(state.unreadable.contains(first.key));
}
