#include "route/pick_target.hpp"

#include "absl/strings/str_cat.h"

#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <random>
#include <set>

using namespace dandelionstep;

namespace {

registered_target replica(const std::string& id, const std::string& data_centre = "n")
{
    registered_target target;
    target.id = target_id(id);
    target.service = service_id("orders");
    target.data_centre = data_centre_id(data_centre);
    target.slots = 6;
    return target;
}

target_registry registry_of(const std::vector<registered_target>& targets)
{
    target_registry registry;
    for (const registered_target& target : targets) {
        registry[target.id] = target;
    }
    return registry;
}

target_query query_at(time_point now)
{
    target_query query;
    query.service = service_id("orders");
    query.entry = data_centre_id("n");
    query.now = now;
    return query;
}

} // namespace

TEST_CASE("targets that are leaving, serve another service or were tried are not picked")
{
    registered_target leaving = replica("leaving");
    leaving.leaving = true;
    registered_target other = replica("other");
    other.service = service_id("else");
    const target_registry registry = registry_of({leaving, other, replica("tried"), replica("good")});
    target_query query = query_at({1'000});
    query.excluded = {target_id("tried")};
    const registered_target* picked = pick_target(query, registry, {});
    REQUIRE(picked != nullptr);
    CHECK(picked->id.value == "good");
    query.excluded.insert(target_id("good"));
    CHECK(pick_target(query, registry, {}) == nullptr);
}

TEST_CASE("a target that failed is used only when there is no other")
{
    const target_registry registry = registry_of({replica("a"), replica("b")});
    target_conditions conditions;
    const time_point now{1'000};
    note_failure(conditions[target_id("a")], target_failure::unreachable, now);
    CHECK(pick_target(query_at(now), registry, conditions)->id.value == "b");
    note_failure(conditions[target_id("b")], target_failure::unreachable, now);
    CHECK(pick_target(query_at(now), registry, conditions) != nullptr);
}

// A data centre is cut off from all targets of a service. A request that waits for a connection there loses
// time in which its caller could retry in another data centre.
TEST_CASE(
    "while no target can be reached, one request per second tries each, and the others are refused at once")
{
    const target_registry registry = registry_of({replica("a"), replica("b")});
    constexpr std::int64_t connect_ms = 250;
    constexpr std::int64_t cut_ms = 5'000;
    target_conditions conditions;
    // Connections that are being opened, by the time at which they fail.
    std::multimap<std::int64_t, target_id> connecting;
    int waiting = 0;
    int refused = 0;
    for (std::int64_t now = 0; now < cut_ms; now += 10) {
        while (!connecting.empty() && connecting.begin()->first <= now) {
            note_failure(conditions[connecting.begin()->second], target_failure::unreachable, {now});
            connecting.erase(connecting.begin());
        }
        const registered_target* target = pick_target(query_at({now}), registry, conditions);
        if (target == nullptr) {
            ++refused;
            continue;
        }
        ++waiting;
        note_sent(conditions[target->id], {now});
        connecting.emplace(now + connect_ms, target->id);
    }
    MESSAGE(waiting, " requests waited for a connection, ", refused, " were refused at once");
    // Each of the two targets is tried once a second; more requests wait until the first failures are known.
    CHECK(waiting <= 2 * cut_ms / 1'000 + 3 * connect_ms / 10);
    CHECK(refused > 0);
    // After its first response, a target is used for all requests again.
    note_response(conditions[target_id("a")], {20}, {cut_ms});
    for (int i = 0; i < 10; ++i) {
        const registered_target* target = pick_target(query_at({cut_ms + i}), registry, conditions);
        REQUIRE(target != nullptr);
        CHECK(target->id == target_id("a"));
        note_sent(conditions[target->id], {cut_ms + i});
    }
}

TEST_CASE("a refusal shows that a target can be reached, so its half-open trial ends early")
{
    const target_registry registry = registry_of({replica("a")});
    target_conditions conditions;
    target_condition& condition = conditions[target_id("a")];
    constexpr time_point lost{1'000};
    note_failure(condition, target_failure::unreachable, lost);
    note_failure(condition, target_failure::unreachable, lost);
    const time_point tried = condition.avoid_until;
    note_sent(condition, tried);
    REQUIRE(pick_target(query_at(tried), registry, conditions) == nullptr);
    const time_point refused = tried + milliseconds{10};
    note_reached(condition);
    note_refusal(condition, {300}, refused);
    CHECK(pick_target(query_at(condition.avoid_until), registry, conditions) != nullptr);
}

TEST_CASE("under load, requests wait less than with a random choice among targets of different speed")
{
    // Simulates arrivals at a steady rate at one slow and two fast targets; each slot runs one request at a
    // time.
    const auto total_wait = [](bool random_choice) {
        const target_registry registry = registry_of({replica("fast1"), replica("fast2"), replica("slow")});
        const std::map<std::string, std::int64_t> work{{"fast1", 15}, {"fast2", 15}, {"slow", 90}};
        target_conditions conditions;
        std::mt19937_64 random(7);
        std::vector<std::tuple<std::int64_t, target_id, std::int64_t>> running;
        std::int64_t total = 0;
        for (std::int64_t ms = 0; ms < 20'000; ms += 2) {
            const time_point now{ms};
            std::erase_if(running, [&](const auto& one) {
                if (std::get<0>(one) > ms) {
                    return false;
                }
                target_condition& condition = conditions[std::get<1>(one)];
                --condition.in_flight;
                note_response(condition, {std::get<2>(one)}, now);
                return true;
            });
            target_query query = query_at(now);
            query.draw = std::uniform_real_distribution<double>(0, 1)(random);
            const registered_target* picked = pick_target(query, registry, conditions);
            if (random_choice) {
                auto at = registry.begin();
                std::advance(at, random() % 3);
                picked = &at->second;
            }
            target_condition& condition = conditions[picked->id];
            const std::int64_t queue = condition.in_flight / picked->slots;
            const std::int64_t took = work.at(picked->id.value) * (1 + queue);
            ++condition.in_flight;
            running.emplace_back(ms + took, picked->id, took);
            total += took;
        }
        return total;
    };
    const std::int64_t chosen = total_wait(false);
    const std::int64_t random = total_wait(true);
    MESSAGE("total ms: ", chosen, " chosen, ", random, " at random");
    CHECK(chosen * 2 < random);
}

TEST_CASE("equal targets get equal shares of the requests")
{
    const target_registry registry = registry_of({replica("a"), replica("b"), replica("c")});
    std::map<std::string, int> picks;
    constexpr int draws = 300;
    for (int i = 0; i < draws; ++i) {
        target_query query = query_at({1'000});
        query.draw = static_cast<double>(i) / draws;
        ++picks[pick_target(query, registry, {})->id.value];
    }
    CHECK(picks == std::map<std::string, int>{{"a", draws / 3}, {"b", draws / 3}, {"c", draws / 3}});
}

TEST_CASE("a target in backoff is not picked, even if it is the only one")
{
    constexpr time_point now{5'000};
    const target_registry registry = registry_of({replica("rests"), replica("good")});
    target_conditions conditions;
    note_backoff(conditions[target_id("rests")], {1'000}, {}, 0, now);
    target_query query = query_at(now);
    CHECK(pick_target(query, registry, conditions)->id.value == "good");
    query.excluded = {target_id("good")};
    CHECK(pick_target(query, registry, conditions) == nullptr);
    query.now = now + milliseconds{1'000};
    CHECK(pick_target(query, registry, conditions)->id.value == "rests");
}

TEST_CASE("the end of the first backoff ignores leaving targets and those of other services")
{
    constexpr time_point now{5'000};
    registered_target other = replica("other");
    other.service = service_id("else");
    registered_target leaving = replica("leaving");
    leaving.leaving = true;
    const target_registry registry = registry_of({replica("a"), replica("b"), other, leaving});
    const service_id service("orders");
    target_conditions conditions;
    CHECK_FALSE(first_backoff_end(service, registry, conditions, now));
    note_backoff(conditions[target_id("a")], {900}, {}, 0, now);
    note_backoff(conditions[target_id("b")], {600}, {}, 0, now);
    note_backoff(conditions[target_id("other")], {10}, {}, 0, now);
    note_backoff(conditions[target_id("leaving")], {20}, {}, 0, now);
    CHECK(first_backoff_end(service, registry, conditions, now) == now + milliseconds{600});
    CHECK_FALSE(first_backoff_end(service, registry, conditions, now + milliseconds{900}));
}

TEST_CASE("a target gets one request at first after its backoff")
{
    constexpr time_point now{5'000};
    const target_registry registry = registry_of({replica("returned"), replica("busy")});
    target_conditions conditions;
    note_backoff(conditions[target_id("returned")], {1}, {}, 0, {1'000});
    conditions[target_id("busy")].in_flight = 10;
    const target_query query = query_at(now);
    CHECK(pick_target(query, registry, conditions)->id.value == "returned");
    conditions[target_id("returned")].in_flight = 1;
    CHECK(pick_target(query, registry, conditions)->id.value == "busy");
}

// A replica starts beside others that answer within a millisecond.
TEST_CASE("a target that has not answered yet is assumed to be as fast as the others")
{
    const target_registry registry = registry_of({replica("known"), replica("new")});
    target_conditions conditions;
    note_response(conditions[target_id("known")], {1}, {4'000});
    std::set<std::string> picked;
    for (const double draw : {0.1, 0.9}) {
        target_query query = query_at({5'000});
        query.draw = draw;
        picked.insert(pick_target(query, registry, conditions)->id.value);
    }
    CHECK(picked.size() == 2);
}

namespace {

// Sends requests one after the other and returns the number that each target answered. `takes` is the
// response time in milliseconds for a target's n-th request.
std::map<std::string, int> run_sequentially(const target_registry& registry, target_conditions& conditions,
                                            const std::function<std::int64_t(const std::string&, int)>& takes,
                                            milliseconds span)
{
    std::map<std::string, int> answered;
    std::mt19937_64 random(7);
    for (time_point now{1'000}; now < time_point{1'000} + span;) {
        target_query query = query_at(now);
        query.draw = std::uniform_real_distribution<double>(0, 1)(random);
        const target_id picked = pick_target(query, registry, conditions)->id;
        const milliseconds took{takes(picked.value, answered[picked.value]++)};
        now = now + took;
        note_response(conditions[picked], took, now);
    }
    return answered;
}

} // namespace

// Replicas are slow for one answer when they have just started or their machine is busy. If that answer alone
// counted, all requests would go to the only replica that was not slow.
TEST_CASE("a target whose only answer was slow gets another request within seconds, and so do new targets")
{
    const target_registry registry = registry_of({replica("good"), replica("slow_once"), replica("new")});
    target_conditions conditions;
    note_response(conditions[target_id("slow_once")], {150}, {900});
    note_response(conditions[target_id("good")], {60}, {950});
    const auto equal = [](const std::string&, int) { return 60; };
    const std::map<std::string, int> early = run_sequentially(registry, conditions, equal, {5'000});
    CHECK(early.size() == 3);
    const std::map<std::string, int> later = run_sequentially(registry, conditions, equal, {15'000});
    for (const auto& answered : later) {
        CAPTURE(answered.first);
        CHECK(answered.second > 15'000 / 60 / 3 / 2);
    }
}

TEST_CASE("a target that stays slow is tried at times, but gets few of the requests")
{
    const target_registry registry = registry_of({replica("good"), replica("slow")});
    target_conditions conditions;
    const auto unequal = [](const std::string& target, int) { return target == "slow" ? 240 : 60; };
    const std::map<std::string, int> answered = run_sequentially(registry, conditions, unequal, {60'000});
    CHECK(answered.at("slow") >= 60 / 15);
    CHECK(answered.at("slow") <= 60 / 5);
}

namespace {

constexpr milliseconds minute{60'000};

// The times at which a target that rests is picked over `span`, by a request each second that it refuses.
std::vector<time_point> trials_over(milliseconds span, milliseconds rest, bool has_other)
{
    const target_id resting("rests");
    const target_registry registry =
        has_other ? registry_of({replica("rests"), replica("other")}) : registry_of({replica("rests")});
    target_conditions conditions;
    const time_point start{1'000};
    note_backoff(conditions[resting], rest, {}, 0, start);
    std::vector<time_point> trials;
    for (time_point now = start; now < start + span; now = now + milliseconds{1'000}) {
        target_query query = query_at(now);
        // Takes the last one of equal targets.
        query.draw = 0.99;
        const registered_target* picked = pick_target(query, registry, conditions);
        if (picked != nullptr && picked->id == resting) {
            trials.push_back(now);
            note_backoff_trial(conditions[resting], now);
            note_backoff(conditions[resting], rest, {}, 0, now);
        }
    }
    return trials;
}

} // namespace

// A rest was cut to a minute, so that the target got requests although it had said that it wants none.
TEST_CASE("a backoff of more than a minute is kept to its end while another target serves")
{
    CHECK(trials_over(minute * 90, minute * 100, true).empty());
}

// The users allow two requests in a rest.
TEST_CASE("a mistaken backoff of the only target is tried twice, so that it does not empty the service")
{
    const std::vector<time_point> trials = trials_over(minute * 600, minute * 1'440, false);
    CHECK(trials == std::vector<time_point>{{61'000}, {661'000}});
    CHECK(trials_over(minute * 10, milliseconds{59'000}, false).front() == time_point{60'000});
}

TEST_CASE("the end of the first backoff is no later than the next trial")
{
    const service_id service("orders");
    target_conditions conditions;
    const time_point now{1'000};
    const target_registry registry = registry_of({replica("a")});
    note_backoff(conditions[target_id("a")], minute * 60, {}, 0, now);
    CHECK(first_backoff_end(service, registry, conditions, now) == now + minute);
}

// Guards against a target that looks as good as another while it works on a long call.
TEST_CASE("of targets with as many calls, the one whose calls need less time is picked")
{
    const time_point now{10'000};
    const target_registry registry = registry_of({replica("long"), replica("short")});
    // Of ten times as long calls the cost is bounded, so that both may be picked.
    for (const auto& [factor, least] : {std::pair{1.0, 10}, std::pair{10.0, 5}}) {
        target_conditions conditions;
        for (const auto& [id, ms] : {std::pair{"long", 200.0}, std::pair{"short", 20.0}}) {
            target_condition& condition = conditions[target_id(id)];
            note_response(condition, {60}, now);
            condition.in_flight = 2;
            condition.calls = {{now, ms * factor}, {now, ms * factor}};
        }
        std::map<bool, int> short_picks;
        for (const bool counts : {false, true}) {
            target_query query = query_at(now);
            query.counts_work = counts;
            for (int i = 0; i < 10; ++i) {
                query.draw = 0.1 * i;
                short_picks[counts] += pick_target(query, registry, conditions)->id.value == "short" ? 1 : 0;
            }
        }
        CHECK(short_picks[false] == 5);
        CHECK(short_picks[true] >= least);
    }
}
