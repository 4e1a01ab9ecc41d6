#include "target/health.hpp"
#include "target/leaving.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>
#include <set>
#include <utility>
#include <vector>

using namespace dandelionstep;

namespace {

using leaving_sign = std::pair<target_id, incarnation>;

// Keeps every sign of leaving that was ever given, and searches all of them.
class naive_marks {
public:
    void take(const leaving_sign& each) { this->all.insert(each); }
    [[nodiscard]] bool is_marked(const target_id& target, incarnation started) const
    {
        return std::ranges::any_of(this->all, [&](const leaving_sign& each) {
            return each.first == target && each.second >= started;
        });
    }

private:
    std::set<leaving_sign> all;
};

std::vector<leaving_sign> random_signs(std::mt19937& random, int count)
{
    constexpr int targets = 6;
    constexpr int incarnations = 5;
    std::vector<leaving_sign> signs;
    for (int i = 0; i < count; ++i) {
        const std::string name = "target" + std::to_string(random() % targets);
        signs.emplace_back(target_id(name), incarnation{1 + static_cast<int>(random() % incarnations)});
    }
    return signs;
}

} // namespace

TEST_CASE("a mark holds for its incarnation and older ones, and never for newer ones")
{
    struct row {
        const char* name;
        std::vector<std::int64_t> marked;
        std::int64_t started;
        bool leaving;
    };
    const std::vector<row> rows{
        {"no marks", {}, 5, false},
        {"this incarnation", {5}, 5, true},
        {"the previous one", {4}, 5, false},
        {"a newer one, not yet seen", {6}, 5, true},
        {"this one, then an older one", {5, 3}, 5, true},
        {"an older one, then this one", {3, 5}, 5, true},
        {"this one twice", {5, 5}, 5, true},
    };
    for (const row& each : rows) {
        CAPTURE(each.name);
        leaving_marks marks;
        for (const std::int64_t leaving : each.marked) {
            mark_leaving(marks, target_id("a"), incarnation{leaving});
        }
        CHECK(is_marked(marks, target_id("a"), incarnation{each.started}) == each.leaving);
        CHECK_FALSE(is_marked(marks, target_id("b"), incarnation{each.started}));
    }
}

TEST_CASE("marking and merging report whether the marks changed")
{
    leaving_marks marks;
    CHECK(mark_leaving(marks, target_id("a"), incarnation{5}));
    CHECK_FALSE(mark_leaving(marks, target_id("a"), incarnation{5}));
    CHECK_FALSE(mark_leaving(marks, target_id("a"), incarnation{4}));
    CHECK(mark_leaving(marks, target_id("a"), incarnation{6}));
    CHECK_FALSE(merge(marks, {{target_id("a"), incarnation{6}}}));
    CHECK(merge(marks, {{target_id("b"), incarnation{1}}}));
}

TEST_CASE("daemons that exchange marks in any order, with duplicates, agree with a naive record of all signs")
{
    constexpr int runs = 200;
    constexpr int daemons = 5;
    for (int seed = 0; seed < runs; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(static_cast<unsigned>(seed));
        naive_marks naive;
        std::vector<leaving_marks> held(daemons);
        for (const leaving_sign& each : random_signs(random, 30)) {
            naive.take(each);
            mark_leaving(held[random() % daemons], each.first, each.second);
            const auto from = held[random() % daemons];
            merge(held[random() % daemons], from);
        }
        // Each daemon then merges the marks of all others in a random order, some of them twice.
        const std::vector<leaving_marks> before = held;
        for (leaving_marks& own : held) {
            std::vector<std::size_t> order{0, 1, 2, 3, 4, 0, 2};
            std::ranges::shuffle(order, random);
            for (const std::size_t from : order) {
                merge(own, before[from]);
            }
        }
        for (const leaving_marks& own : held) {
            for (int target = 0; target < 6; ++target) {
                for (int started = 1; started <= 6; ++started) {
                    const target_id name("target" + std::to_string(target));
                    CHECK(is_marked(own, name, incarnation{started}) ==
                          naive.is_marked(name, incarnation{started}));
                }
            }
        }
    }
}

TEST_CASE("the number of marks is bounded, and which are kept does not depend on their order")
{
    std::vector<leaving_sign> signs;
    for (std::size_t i = 0; i < max_leaving_marks + 50; ++i) {
        signs.emplace_back(target_id(std::to_string(i)), incarnation{static_cast<std::int64_t>(i / 2 + 1)});
    }
    const auto take_all = [&signs] {
        leaving_marks marks;
        for (const auto& [target, leaving] : signs) {
            mark_leaving(marks, target, leaving);
        }
        return marks;
    };
    const leaving_marks in_order = take_all();
    CHECK(in_order.size() == max_leaving_marks);
    std::mt19937 random(7);
    std::ranges::shuffle(signs, random);
    CHECK(take_all() == in_order);
    CHECK(in_order.contains(signs.back().first) == (signs.back().second > incarnation{25}));
}

TEST_CASE("a message carries a bounded number of marks, fresh ones at once and all marks in rotation")
{
    const mark_message_limits limits{.fresh_for = {1000}, .max_fresh = 4, .turn = {500}, .marks_per_turn = 3};
    leaving_marks marks;
    for (int i = 0; i < 20; ++i) {
        marks[target_id(std::to_string(i))] = incarnation{i + 1};
    }
    mark_times learned{{target_id("7"), {9500}}, {target_id("8"), {8000}}};

    SUBCASE("a mark goes into every message while it is fresh")
    {
        for (std::int64_t now = 9500; now < 10'500; now += 100) {
            CHECK(choose_marks(marks, learned, limits, {now}).contains(target_id("7")));
        }
        choose_marks(marks, learned, limits, {10'500});
        CHECK(learned.empty());
    }
    SUBCASE("a peer that receives one message in each turn gets all marks once all turns have passed")
    {
        learned.clear();
        leaving_marks received;
        for (std::int64_t now = 0; now < std::int64_t{7} * 500; now += 500) {
            const leaving_marks chosen = choose_marks(marks, learned, limits, {now});
            CHECK(chosen.size() <= limits.marks_per_turn);
            merge(received, chosen);
        }
        CHECK(received == marks);
    }
    SUBCASE("many fresh marks are bounded as well")
    {
        for (const auto& [target, leaving] : marks) {
            learned[target] = {9900};
        }
        CHECK(choose_marks(marks, learned, limits, {10'000}).size() <=
              limits.max_fresh + limits.marks_per_turn);
    }
    SUBCASE("without marks nothing is chosen")
    {
        CHECK(choose_marks({}, learned, limits, {10'000}).empty());
    }
}

TEST_CASE("the list of VMs marks an incarnation only when it certainly means that one")
{
    using enum listed_verdict;
    constexpr time_point listed_at{1000};
    struct row {
        const char* name;
        listed_target listed;
        known_incarnation known;
        listed_verdict verdict;
    };
    const target_id a("a");
    const std::vector<row> rows{
        {"listed as not leaving", {a, false, {}}, {{5}, {0}, false}, not_leaving},
        {"known since before the list", {a, true, {}}, {{5}, {900}, false}, leaving},
        {"replaced before the list", {a, true, {}}, {{5}, {900}, true}, leaving},
        {"replaced after the list", {a, true, {}}, {{5}, {1100}, true}, not_leaving},
        {"first seen after the list", {a, true, {}}, {{5}, {1100}, false}, avoid},
        {"never seen", {a, true, {}}, {{0}, {0}, false}, avoid},
        {"the list names this incarnation", {a, true, incarnation{5}}, {{5}, {1100}, true}, leaving},
        {"the list names a newer one", {a, true, incarnation{6}}, {{5}, {900}, false}, leaving},
        {"the list names an older one", {a, true, incarnation{4}}, {{5}, {900}, true}, not_leaving},
    };
    for (const row& each : rows) {
        CAPTURE(each.name);
        CHECK(assess_listing(each.listed, each.known, listed_at) == each.verdict);
    }
}

TEST_CASE("a target gets no new requests while its incarnation is marked, whatever arrives later")
{
    constexpr time_point now{10'000};
    const target_id a("a");
    health_map health;
    leaving_marks marks;
    observe_incarnation(health[a], marks, a, incarnation{5}, now);
    CHECK(is_eligible(health, a, now));

    mark_leaving(marks, a, incarnation{5});
    refresh_leaving(health, marks);
    CHECK_FALSE(is_eligible(health, a, now));

    SUBCASE("a success or a late report of the same or an older incarnation does not undo it")
    {
        record_success(health[a]);
        observe_incarnation(health[a], marks, a, incarnation{5}, now);
        CHECK_FALSE(observe_incarnation(health[a], marks, a, incarnation{4}, now));
        refresh_leaving(health, marks);
        CHECK_FALSE(is_eligible(health, a, now));
        CHECK(health[a].started == incarnation{5});
    }
    SUBCASE("a newer incarnation gets requests again, and older marks don't apply to it")
    {
        CHECK(observe_incarnation(health[a], marks, a, incarnation{6}, now));
        CHECK(is_eligible(health, a, now));
        mark_leaving(marks, a, incarnation{5});
        refresh_leaving(health, marks);
        CHECK(is_eligible(health, a, now));
    }
    SUBCASE("a newer incarnation that was marked before it was seen gets none")
    {
        mark_leaving(marks, a, incarnation{6});
        observe_incarnation(health[a], marks, a, incarnation{6}, now);
        CHECK_FALSE(is_eligible(health, a, now));
    }
}
