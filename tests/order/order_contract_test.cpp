#include "order/background_write.hpp"
#include "order/order.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;

namespace {

constexpr time_point start{1'000'000};
constexpr wall_time wall_start{50'000'000};

order_clock at(std::int64_t ms)
{
    return {start + milliseconds{ms}, wall_time{wall_start.count + ms}};
}

std::optional<target> two_targets(const std::set<target_id>& excluded)
{
    for (const char* name : {"desk0", "desk1"}) {
        if (!excluded.contains(target_id(name))) {
            target found;
            found.id = target_id(name);
            return found;
        }
    }
    return std::nullopt;
}

stored_order row(std::int64_t version, order_phase phase, const std::string& nonce,
                 std::int64_t claimed_ms = 0)
{
    stored_order stored{row_version{version}, {}};
    stored.record.phase = phase;
    stored.record.nonce = nonce;
    stored.record.body_sha256 = "body";
    stored.record.claimed_at = {wall_start.count + claimed_ms};
    stored.record.answer = {201, "text/plain", "kept"};
    return stored;
}

// Turns an action into a short text, which the tables below compare.
struct describe {
    std::string operator()(const write_order& a) const
    {
        return "write " + std::string(to_string(a.record.phase)) + " at " + std::to_string(a.expected.value);
    }
    std::string operator()(const read_order& /*a*/) const { return "read"; }
    std::string operator()(const send_order& a) const { return "send " + a.to.id.value; }
    std::string operator()(const answer_order& a) const
    {
        return (a.repeated ? "repeat " : "answer ") + std::to_string(a.answer.status);
    }
    std::string operator()(const refuse_order& a) const
    {
        return std::string(to_string(a.why.result)) + " " + std::string(to_string(a.why.code));
    }
    std::string operator()(const release_order& a) const
    {
        return "release at " + std::to_string(a.expected.value);
    }
    std::string operator()(const record_answer& a) const
    {
        return "record at " + std::to_string(a.expected.value);
    }
};

std::string text_of(const std::vector<order_action>& actions)
{
    std::string text;
    for (const order_action& action : actions) {
        text += (text.empty() ? "" : ", ") + std::visit(describe{}, action);
    }
    return text.empty() ? "nothing" : text;
}

struct timed_event {
    order_event event;
    std::int64_t at_ms = 0;
};

// Applies the events in turn to a new order and returns the text of the last one's actions.
std::string last_actions(const std::vector<timed_event>& events)
{
    order_state state;
    state.record.nonce = "own";
    state.record.body_sha256 = "body";
    std::string text;
    for (const timed_event& each : events) {
        text = text_of(advance(state, each.event, two_targets, at(each.at_ms)));
    }
    return text;
}

struct contract_row {
    std::string when;
    std::vector<timed_event> events;
    std::string then;
};

const timed_event started{order_started{}};
const timed_event claimed{write_committed{row_version{7}}};
const timed_event marked{write_committed{row_version{8}}};
const timed_event unknown{write_outcome_unknown{}};
const timed_event read_failed{order_read{.failed = true, .current = {}}};

timed_event conflict(const stored_order& current)
{
    return {write_conflicted{current}};
}
timed_event read(const stored_order& current)
{
    return {order_read{.failed = false, .current = current}};
}

void check(const std::vector<contract_row>& rows)
{
    for (const contract_row& each : rows) {
        CAPTURE(each.when);
        CHECK(last_actions(each.events) == each.then);
    }
}

} // namespace

TEST_CASE("claiming: nothing is sent before the table holds the claim and the mark as sending")
{
    check({
        {"started", {started}, "write claimed at 0"},
        {"started twice", {started, started}, "nothing"},
        {"claim committed", {started, claimed}, "write sending at 7"},
        {"mark committed", {started, claimed, marked}, "send desk0"},
        {"claim not executed", {started, {write_refused{}}}, "not_run store_unavailable"},
        {"claim outcome unknown", {started, unknown}, "read"},
        {"claim outcome unknown, read fails", {started, unknown, read_failed}, "read"},
        {"claim outcome unknown, every read fails",
         {started, unknown, read_failed, read_failed, read_failed},
         "release at 0, not_run store_unavailable"},
        {"claim outcome unknown, it did not take effect",
         {started, unknown, {order_read{}}},
         "write claimed at 0"},
        {"claim outcome unknown, it took effect",
         {started, unknown, read(row(5, order_phase::claimed, "own"))},
         "write sending at 5"},
        {"the first claim takes effect late",
         {started, unknown, {order_read{}}, conflict(row(5, order_phase::claimed, "own"))},
         "write sending at 5"},
        {"an unexpected answer of a target", {started, {target_answered{}}}, "nothing"},
        {"the caller disconnects", {started, {order_caller_disconnected{}}}, "nothing"},
    });
}

TEST_CASE("a repeated order: gets the stored answer, or unknown, or takes over a claim that was never sent")
{
    stored_order other_body = row(5, order_phase::done, "other");
    other_body.record.body_sha256 = "another body";
    stored_order too_large = row(5, order_phase::done, "other");
    too_large.record.answer.body_kept = false;
    stored_order unreadable{row_version{5}, {}};
    unreadable.record.phase = order_phase::sending;
    const timed_event late{write_conflicted{row(5, order_phase::claimed, "other")}, 5000};
    const timed_event later{write_conflicted{row(5, order_phase::sending, "other")}, 86'400'000};
    const timed_event wrong_clock{write_conflicted{row(5, order_phase::claimed, "other", 3'600'000)}, 0};
    check({
        {"done", {started, conflict(row(5, order_phase::done, "other"))}, "repeat 201"},
        {"done with a large answer", {started, conflict(too_large)}, "unknown answer_not_kept"},
        {"claimed by another",
         {started, conflict(row(5, order_phase::claimed, "other"))},
         "unknown unsettled"},
        {"claimed by another and expired", {started, late}, "write claimed at 5"},
        {"claimed by a daemon whose clock is an hour ahead", {started, wrong_clock}, "write claimed at 5"},
        {"being sent by another",
         {started, conflict(row(5, order_phase::sending, "other"))},
         "unknown unsettled"},
        {"being sent by another for a day", {started, later}, "unknown unsettled"},
        {"released", {started, conflict(row(5, order_phase::released, "other"))}, "write claimed at 5"},
        {"settled as run",
         {started, conflict(row(5, order_phase::settled_ran, "other"))},
         "unknown settled_by_operator"},
        {"settled as not run",
         {started, conflict(row(5, order_phase::settled_not_run, "other"))},
         "not_run settled_by_operator"},
        {"another body", {started, conflict(other_body)}, "not_run key_reused"},
        {"a row that this build can't read", {started, conflict(unreadable)}, "unknown unsettled"},
    });
}

TEST_CASE(
    "marking: a mark with an unknown outcome is read back, and an order whose claim is lost is never sent")
{
    check({
        {"mark not executed",
         {started, claimed, {write_refused{}}},
         "release at 7, not_run store_unavailable"},
        {"mark outcome unknown", {started, claimed, unknown}, "read"},
        {"mark outcome unknown, it took effect",
         {started, claimed, unknown, read(row(8, order_phase::sending, "own"))},
         "send desk0"},
        {"mark outcome unknown, it did not take effect",
         {started, claimed, unknown, read(row(7, order_phase::claimed, "own"))},
         "write sending at 7"},
        {"mark outcome unknown, the read is older than the claim",
         {started, claimed, unknown, {order_read{}}},
         "read"},
        {"mark outcome unknown, every read fails",
         {started, claimed, unknown, read_failed, read_failed, read_failed},
         "release at 7, not_run store_unavailable"},
        {"the first mark takes effect late",
         {started, claimed, conflict(row(8, order_phase::sending, "own"))},
         "send desk0"},
        {"taken over in the meantime",
         {started, claimed, conflict(row(9, order_phase::claimed, "other"))},
         "unknown unsettled"},
        {"taken over and done in the meantime",
         {started, claimed, conflict(row(9, order_phase::done, "other"))},
         "repeat 201"},
        {"the row was deleted", {started, claimed, {write_conflicted{}}}, "unknown unsettled"},
    });
}

TEST_CASE("sending: an order is sent again only if it certainly did not run")
{
    const timed_event not_run_at_0{target_did_not_run{target_id("desk0")}};
    const timed_event not_run_at_1{target_did_not_run{target_id("desk1")}};
    const timed_event marked_late{write_committed{row_version{8}}, 60'000};
    const timed_event marked_again{write_committed{row_version{9}}, 60'001};
    const timed_event settled{write_conflicted{row(9, order_phase::settled_not_run, "own")}, 60'001};
    check({
        {"answered",
         {started, claimed, marked, {target_answered{{200, "", "ok"}}}},
         "answer 200, record at 8"},
        {"answered with a server error",
         {started, claimed, marked, {target_answered{{500, "", ""}}}},
         "answer 500, record at 8"},
        {"not run", {started, claimed, marked, not_run_at_0}, "send desk1"},
        {"not run by any target",
         {started, claimed, marked, not_run_at_0, not_run_at_1},
         "release at 8, not_run no_capacity"},
        {"connection broken", {started, claimed, marked, {target_outcome_unknown{}}}, "unknown unsettled"},
        {"connection broken after another target did not run it",
         {started, claimed, marked, not_run_at_0, {target_outcome_unknown{}}},
         "unknown unsettled"},
        {"the caller disconnects", {started, claimed, marked, {order_caller_disconnected{}}}, "nothing"},
        {"paused before the mark's answer was handled",
         {started, claimed, marked_late},
         "write sending at 8"},
        {"paused, and the order is still this daemon's",
         {started, claimed, marked_late, marked_again},
         "send desk0"},
        {"paused, and an operator has settled the order",
         {started, claimed, marked_late, settled},
         "not_run settled_by_operator"},
    });
}

TEST_CASE("an answer over the size limit is stored without any part of its body")
{
    order_state state;
    state.limits.max_kept_answer_bytes = 4;
    advance(state, order_started{}, two_targets, at(0));
    advance(state, write_committed{row_version{1}}, two_targets, at(0));
    advance(state, write_committed{row_version{2}}, two_targets, at(0));
    const auto actions = advance(state, target_answered{{200, "", "large"}}, two_targets, at(0));
    CHECK(std::get<answer_order>(actions.at(0)).answer.body == "large");
    const order_record& kept = std::get<record_answer>(actions.at(1)).record;
    CHECK(kept.answer.body.empty());
    CHECK_FALSE(kept.answer.body_kept);
    const auto reread = parse_order_record(to_json(kept));
    REQUIRE(reread.ok());
    CHECK_FALSE(reread->answer.body_kept);
}

TEST_CASE("background writes replace only a row that has their own nonce")
{
    struct background_row {
        std::string when;
        order_phase wanted;
        order_event answer;
        background_step::kind then;
    };
    using kind = background_step::kind;
    const auto current = [](order_phase phase, const char* nonce) {
        return write_conflicted{row(9, phase, nonce)};
    };
    const std::vector<background_row> rows{
        {"committed", order_phase::done, write_committed{row_version{9}}, kind::finished},
        {"outcome unknown", order_phase::done, write_outcome_unknown{}, kind::retry},
        {"refused", order_phase::released, write_refused{}, kind::retry},
        {"an earlier try took effect", order_phase::done, current(order_phase::done, "own"), kind::finished},
        {"the row has a newer version and its own nonce", order_phase::done,
         current(order_phase::sending, "own"), kind::retry},
        {"an operator settled it before the answer", order_phase::done,
         current(order_phase::settled_not_run, "own"), kind::retry},
        {"its own mark took effect late", order_phase::released, current(order_phase::sending, "own"),
         kind::retry},
        {"released already", order_phase::released, current(order_phase::released, "own"), kind::finished},
        {"an operator settled it before the release", order_phase::released,
         current(order_phase::settled_ran, "own"), kind::finished},
        {"taken over", order_phase::released, current(order_phase::claimed, "other"), kind::finished},
        {"taken over and done", order_phase::done, current(order_phase::done, "other"), kind::finished},
        {"row deleted", order_phase::done, write_conflicted{}, kind::finished},
    };
    for (const background_row& each : rows) {
        CAPTURE(each.when);
        background_write pending{row_version{8}, row(8, each.wanted, "own").record};
        CHECK((advance(pending, each.answer).what == each.then));
        const bool newer_version =
            std::holds_alternative<write_conflicted>(each.answer) && each.then == kind::retry;
        CHECK(pending.expected.value == (newer_version ? 9 : 8));
    }
}

TEST_CASE("a background write is given up after a bounded number of tries")
{
    background_write pending{row_version{8}, row(8, order_phase::done, "own").record};
    int tries = 1;
    while (advance(pending, write_outcome_unknown{}).what == background_step::kind::retry) {
        REQUIRE(++tries < 10'000);
    }
    CHECK(tries == 600);
}
