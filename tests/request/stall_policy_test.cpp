#include "request/stall_policy.hpp"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace dandelionstep;

namespace {

struct stall_case {
    std::string what;
    stream_progress progress;
    std::int64_t now;
    stall_action expected;
};

} // namespace

TEST_CASE("the reaction to a stream that delivers no events")
{
    const stall_limits limits;
    const std::vector<stall_case> table{
        {"an event just arrived", {{0}, {5'000}, {0}, true, false}, 5'080, stall_action::wait},
        {"no event for a short time", {{0}, {5'000}, {0}, true, false}, 5'120, stall_action::probe_path},
        {"no event for a long time", {{0}, {5'000}, {0}, true, false}, 5'600, stall_action::ask_engine},
        {"the engine was asked just now",
         {{0}, {5'000}, {5'550}, true, false},
         5'600,
         stall_action::probe_path},
        {"the engine was asked some time ago",
         {{0}, {5'000}, {5'550}, true, false},
         6'000,
         stall_action::ask_engine},
        {"the caller would soon abandon the stream",
         {{0}, {5'000}, {6'000}, true, false},
         6'400,
         stall_action::resume_elsewhere},
        {"the path changed just now", {{6'350}, {5'000}, {6'000}, true, false}, 6'400, stall_action::wait},
        {"no first event for a short time", {{5'000}, {0}, {0}, false, false}, 5'100, stall_action::wait},
        {"no first event for a longer time",
         {{5'000}, {0}, {0}, false, false},
         5'450,
         stall_action::probe_path},
        {"no first event for a long time",
         {{5'000}, {0}, {0}, false, false},
         5'600,
         stall_action::ask_engine},
        {"no first event for a very long time, the engine was asked just now",
         {{5'000}, {0}, {6'950}, false, false},
         7'000,
         stall_action::probe_path},
        {"an engine is known to be dead", {{0}, {5'000}, {0}, true, true}, 5'110, stall_action::change_path},
        {"an engine is dead before the first event",
         {{5'000}, {0}, {0}, false, true},
         5'210,
         stall_action::change_path},
        {"an engine is known to be dead, and an event is missed",
         {{0}, {5'000}, {0}, true, true},
         5'101,
         stall_action::change_path},
        {"events still arrive although an engine is known to be dead",
         {{0}, {5'000}, {0}, true, true},
         5'080,
         stall_action::wait},
    };
    for (const stall_case& one : table) {
        CAPTURE(one.what);
        CHECK(next_stall_action(one.progress, limits, {one.now}) == one.expected);
    }
}

TEST_CASE("a stalled stream is probed well before the gap objective has passed")
{
    for (const std::int64_t objective : {100, 200, 250, 1'000}) {
        for (const std::int64_t usual : {10, 50, 100, 400}) {
            CAPTURE(objective);
            CAPTURE(usual);
            const stall_limits limits = stall_limits_for({500}, {objective}, {usual});
            // Half of the objective is left to find the dead engine and to prefill another one.
            CHECK((limits.probe <= milliseconds{objective / 2} || limits.probe == milliseconds{70}));
            CHECK(limits.probe >= milliseconds{70});
            CHECK(limits.gap >= milliseconds{objective});
            // When an engine is known to be dead, one missed event is enough to change the path.
            CHECK(limits.missed_event <= limits.probe);
            CHECK((limits.missed_event >= milliseconds{usual} || limits.missed_event == limits.probe));
        }
    }
}
