#include "request/backoff_wait.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;

TEST_CASE("a request waits for the end of a backoff only if it is then still answered soon enough")
{
    struct wait_case {
        const char* name;
        std::int64_t backoff_ms;
        std::int64_t left_ms;
        bool waits;
    };
    constexpr milliseconds objective{100};
    constexpr time_point now{1'000};
    const wait_case table[] = {{"a short backoff", 50, 600, true},
                               {"the longest wait that callers accept", 300, 600, true},
                               {"longer than callers accept", 301, 20'000, false},
                               {"too close to the deadline", 250, 300, false},
                               {"beyond the deadline", 200, 150, false}};
    for (const wait_case& one : table) {
        CAPTURE(one.name);
        const bool waits = is_worth_waiting(now + milliseconds{one.backoff_ms},
                                            now + milliseconds{one.left_ms}, objective, now);
        CHECK(waits == one.waits);
    }
}
