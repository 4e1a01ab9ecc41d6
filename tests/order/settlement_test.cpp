#include "order/settlement.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;

namespace {

constexpr wall_time claimed_at{1'000'000};

stored_order row(order_phase phase, const std::string& note = "")
{
    stored_order stored{row_version{8}, {}};
    stored.record.nonce = "of the holder";
    stored.record.phase = phase;
    stored.record.claimed_at = claimed_at;
    stored.record.note = note;
    return stored;
}

std::string text_of(const settlement_action& action)
{
    if (std::holds_alternative<read_order>(action)) {
        return "read";
    }
    if (const auto* write = std::get_if<write_order>(&action)) {
        return "write " + std::string(to_string(write->record.phase)) + " at " +
               std::to_string(write->expected.value) + " with " + write->record.nonce;
    }
    if (const auto* refused = std::get_if<settlement_refused>(&action)) {
        return std::string(to_string(refused->why.result)) + " " + std::string(to_string(refused->why.code));
    }
    return "settled";
}

// Starts a settlement, applies the events in turn and returns the text of the last action.
std::string last_action(bool ran, const std::vector<order_event>& events, std::int64_t age_ms = 60'000)
{
    settlement_state state;
    state.request.ran = ran;
    state.request.note = "called the desk";
    const wall_time now{claimed_at.count + age_ms};
    std::string text = text_of(advance(state, settlement_started{}, now).at(0));
    for (const order_event& event : events) {
        const auto actions = advance(state, event, now);
        text = actions.empty() ? "nothing" : text_of(actions.at(0));
    }
    return text;
}

order_read read(const stored_order& current)
{
    return {.failed = false, .current = current};
}

} // namespace

TEST_CASE("only an order in the phase sending, claimed long enough ago, can be settled")
{
    CHECK(last_action(true, {}) == "read");
    CHECK(last_action(true, {read(row(order_phase::sending))}) ==
          "write settled_ran at 8 with of the holder");
    CHECK(last_action(false, {read(row(order_phase::sending))}) ==
          "write settled_not_run at 8 with of the holder");
    CHECK(last_action(true, {read(row(order_phase::sending))}, 59'999) == "not_run conflict");
    for (const order_phase phase : {order_phase::claimed, order_phase::done, order_phase::released,
                                    order_phase::settled_ran, order_phase::settled_not_run}) {
        CAPTURE(std::string(to_string(phase)));
        CHECK(last_action(true, {read(row(phase))}) == "not_run conflict");
    }
    CHECK(last_action(true, {order_read{}}) == "not_run conflict");
    CHECK(last_action(true, {read({row_version{8}, {}})}) == "not_run conflict");
}

TEST_CASE("a settlement whose write has an unknown outcome reads the row before it writes again")
{
    const order_event sending = read(row(order_phase::sending));
    const order_event failed = order_read{.failed = true, .current = {}};
    const order_event took_effect = read(row(order_phase::settled_ran, "called the desk"));
    CHECK(last_action(true, {sending, write_committed{row_version{9}}}) == "settled");
    CHECK(last_action(true, {sending, write_refused{}}) == "not_run store_unavailable");
    CHECK(last_action(true, {sending, write_outcome_unknown{}}) == "read");
    CHECK(last_action(true, {sending, write_outcome_unknown{}, took_effect}) == "settled");
    CHECK(last_action(true, {sending, write_outcome_unknown{}, sending}) ==
          "write settled_ran at 8 with of the holder");
    CHECK(last_action(true, {sending, write_outcome_unknown{}, failed, failed}) ==
          "unknown store_unavailable");
    CHECK(last_action(true, {failed, failed, failed}) == "not_run store_unavailable");
    CHECK(last_action(true, {sending, write_conflicted{row(order_phase::done)}}) == "not_run conflict");
    CHECK(last_action(true, {sending, write_conflicted{row(order_phase::settled_not_run)}}) ==
          "not_run conflict");
}

TEST_CASE("a settlement names its order, whether it ran and how the operator found out")
{
    const json complete{
        {"organisation", "makers"}, {"service", "desk"}, {"key", "k"}, {"ran", true}, {"note", "n"}};
    CHECK(parse_settlement(complete).ok());
    for (const char* member : {"organisation", "service", "key", "ran", "note"}) {
        CAPTURE(std::string(member));
        json incomplete = complete;
        incomplete.erase(member);
        CHECK_FALSE(parse_settlement(incomplete).ok());
    }
    json wrong = complete;
    wrong["ran"] = "yes";
    CHECK_FALSE(parse_settlement(wrong).ok());
    CHECK_FALSE(parse_settlement(json::array()).ok());
}
