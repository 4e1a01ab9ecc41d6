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

TEST_CASE("what is done about a stream's silence")
{
    const stall_limits limits;
    const std::vector<stall_case> table{
        {"an event came just now", {{0}, {5'000}, {0}, true, false}, 5'080, stall_action::wait},
        {"a short silence between events", {{0}, {5'000}, {0}, true, false}, 5'120, stall_action::probe_path},
        {"a long silence between events", {{0}, {5'000}, {0}, true, false}, 5'600, stall_action::ask_engine},
        {"asked just now", {{0}, {5'000}, {5'550}, true, false}, 5'600, stall_action::probe_path},
        {"asked a while ago", {{0}, {5'000}, {5'550}, true, false}, 6'000, stall_action::ask_engine},
        {"the caller would soon give up",
         {{0}, {5'000}, {6'000}, true, false},
         6'400,
         stall_action::resume_elsewhere},
        {"the path changed just now", {{6'350}, {5'000}, {6'000}, true, false}, 6'400, stall_action::wait},
        {"waits for its first event", {{5'000}, {0}, {0}, false, false}, 5'100, stall_action::wait},
        {"waits rather long for its first event",
         {{5'000}, {0}, {0}, false, false},
         5'450,
         stall_action::probe_path},
        {"waits long for its first event",
         {{5'000}, {0}, {0}, false, false},
         5'600,
         stall_action::ask_engine},
        {"waits very long for its first event, asked just now",
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
        {"events still come by a dead engine", {{0}, {5'000}, {0}, true, true}, 5'080, stall_action::wait},
    };
    for (const stall_case& one : table) {
        CAPTURE(one.what);
        CHECK(next_stall_action(one.progress, limits, {one.now}) == one.expected);
    }
}

TEST_CASE("a silence is looked into well before the gap objective has passed")
{
    for (const std::int64_t objective : {100, 200, 250, 1'000}) {
        for (const std::int64_t usual : {10, 50, 100, 400}) {
            CAPTURE(objective);
            CAPTURE(usual);
            const stall_limits limits = stall_limits_for({500}, {objective}, {usual});
            // Half of the objective is left to find the dead engine and to read the prompt on another one.
            CHECK((limits.probe <= milliseconds{objective / 2} || limits.probe == milliseconds{70}));
            CHECK(limits.probe >= milliseconds{70});
            CHECK(limits.gap >= milliseconds{objective});
            // With an engine that is known to be dead one missed event is enough.
            CHECK(limits.missed_event <= limits.probe);
            CHECK((limits.missed_event >= milliseconds{usual} || limits.missed_event == limits.probe));
        }
    }
}
