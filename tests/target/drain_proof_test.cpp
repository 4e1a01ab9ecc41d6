#include "target/drain.hpp"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace dandelionstep;

namespace {

polled_daemon answered(const char* vm, std::int64_t in_flight, bool gives_new_work = false,
                       member_state state = member_state::alive)
{
    return {vm_id(vm), state, drain_reply{gives_new_work, in_flight}, false};
}

polled_daemon unanswered(const char* vm, member_state state, bool refused_connection = false)
{
    return {vm_id(vm), state, std::nullopt, refused_connection};
}

std::string blocking_text(const drain_progress& progress)
{
    std::string text;
    for (const blocking_daemon& each : progress.blocking) {
        text += each.vm.value + ":" + std::string(to_string(each.blocker)) + " ";
    }
    return text;
}

} // namespace

TEST_CASE("a target is safe to stop only when every daemon that may have requests on it has confirmed that "
          "it has none")
{
    using enum member_state;
    struct row {
        const char* name;
        std::vector<polled_daemon> polled;
        std::set<vm_id> without;
        bool safe;
        const char* blocking;
    };
    const std::vector<row> rows{
        {"no daemons known", {}, {}, false, ""},
        {"all confirm", {answered("a", 0), answered("b", 0)}, {}, true, ""},
        {"one has requests in flight", {answered("a", 0), answered("b", 2)}, {}, false, "b:in_flight "},
        {"one has not heard of the drain",
         {answered("a", 0), answered("b", 0, true)},
         {},
         false,
         "b:gives_new_work "},
        {"one is frozen", {answered("a", 0), unanswered("b", alive)}, {}, false, "b:no_answer "},
        {"one is suspected", {answered("a", 0), unanswered("b", suspect)}, {}, false, "b:no_answer "},
        {"one is believed dead but may be frozen",
         {answered("a", 0), unanswered("b", dead)},
         {},
         false,
         "b:no_answer "},
        {"one crashed and its port refuses connections",
         {answered("a", 0), unanswered("b", alive, true)},
         {},
         false,
         "b:no_answer "},
        {"one left and has exited", {answered("a", 0), unanswered("b", left, true)}, {}, true, ""},
        {"one left and does not answer",
         {answered("a", 0), unanswered("b", left)},
         {},
         false,
         "b:no_answer "},
        {"one has left and still finishes streams",
         {answered("a", 0), answered("b", 1, false, left)},
         {},
         false,
         "b:in_flight "},
        {"the operator says that one is gone",
         {answered("a", 0), unanswered("b", dead)},
         {vm_id("b")},
         true,
         ""},
        {"only daemons that need not confirm", {unanswered("b", dead)}, {vm_id("b")}, false, ""},
    };
    for (const row& each : rows) {
        CAPTURE(each.name);
        const drain_progress progress = assess_drain(each.polled, each.without);
        CHECK(progress.safe_to_stop() == each.safe);
        CHECK(blocking_text(progress) == each.blocking);
    }
}

TEST_CASE("what several daemons know of another is merged by incarnation, then by state")
{
    using enum member_state;
    std::map<vm_id, known_daemon> known;
    const vm_id a("a");
    merge_known_daemon(known, a, {{"127.0.0.1", 1}, incarnation{5}, left});
    merge_known_daemon(known, a, {{"127.0.0.1", 1}, incarnation{5}, alive});
    CHECK(known[a].state == left);
    merge_known_daemon(known, a, {{"127.0.0.1", 2}, incarnation{6}, alive});
    CHECK(known[a].state == alive);
    CHECK(known[a].operators.port == 2);
    merge_known_daemon(known, a, {{"127.0.0.1", 1}, incarnation{5}, dead});
    CHECK(known[a].state == alive);
}
