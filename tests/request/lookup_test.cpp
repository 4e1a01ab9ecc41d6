#include "request/lookup.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;

namespace {

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

std::optional<target> no_target(const std::set<target_id>& /*excluded*/)
{
    return std::nullopt;
}

struct describe {
    std::string operator()(const send_lookup& a) const { return "send " + a.to.id.value; }
    std::string operator()(const cancel_lookup& /*a*/) const { return "cancel"; }
    std::string operator()(const answer_lookup& a) const { return "answer " + std::to_string(a.status); }
    std::string operator()(const refuse_lookup& a) const
    {
        return std::string(to_string(a.why.result)) + " " + std::string(to_string(a.why.code));
    }
};

std::string last_actions(const std::vector<lookup_event>& events,
                         const lookup_replica_source& replicas = two_targets)
{
    lookup_state state;
    std::string text;
    for (const lookup_event& event : events) {
        text.clear();
        for (const lookup_action& action : advance(state, event, replicas)) {
            text += (text.empty() ? "" : ", ") + std::visit(describe{}, action);
        }
    }
    return text.empty() ? "nothing" : text;
}

lookup_answered answered(std::int64_t attempt, int status)
{
    return {attempt_number{attempt}, status, "", ""};
}

lookup_attempt_failed failed(std::int64_t attempt, bool proven_not_run)
{
    return {attempt_number{attempt}, proven_not_run};
}

} // namespace

TEST_CASE("a lookup is retried at another replica while there is one, and reports not_run only if none may "
          "have run it")
{
    struct row {
        std::string name;
        std::vector<lookup_event> events;
        std::string expected;
    };
    const lookup_started started;
    const std::vector<row> rows{
        {"started", {started}, "send desk0"},
        {"answered", {started, answered(1, 200)}, "answer 200"},
        {"answered with the service's own refusal", {started, answered(1, 404)}, "answer 404"},
        {"server error", {started, answered(1, 500)}, "send desk1"},
        {"server error everywhere", {started, answered(1, 500), answered(2, 500)}, "answer 500"},
        {"broken", {started, failed(1, false)}, "send desk1"},
        {"broken everywhere", {started, failed(1, false), failed(2, false)}, "unknown target_failed"},
        {"unreachable everywhere", {started, failed(1, true), failed(2, true)}, "not_run target_failed"},
        {"unreachable, then broken", {started, failed(1, true), failed(2, false)}, "unknown target_failed"},
        {"broken, then unreachable", {started, failed(1, false), failed(2, true)}, "unknown target_failed"},
        {"server error, then unreachable",
         {started, answered(1, 500), failed(2, true)},
         "unknown target_failed"},
        {"the deadline passes during an attempt",
         {started, lookup_deadline{}},
         "cancel, unknown deadline_exceeded"},
        {"a late answer of an earlier attempt", {started, failed(1, false), answered(1, 200)}, "nothing"},
        {"the caller disconnects", {started, lookup_caller_gone{}}, "cancel"},
        {"an answer after the caller disconnected",
         {started, lookup_caller_gone{}, answered(1, 200)},
         "nothing"},
    };
    for (const row& each : rows) {
        CAPTURE(each.name);
        CHECK(last_actions(each.events) == each.expected);
    }
    CHECK(last_actions({lookup_started{}}, no_target) == "not_run no_capacity");
}
