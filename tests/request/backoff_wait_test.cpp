#include "request/backoff_wait.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;

TEST_CASE("a request waits for the end of a rest only where it is answered soon enough for that")
{
    struct wait_case {
        const char* what;
        std::int64_t rest_ms;
        std::int64_t left_ms;
        bool waits;
    };
    constexpr milliseconds objective{100};
    constexpr time_point now{1'000};
    const wait_case table[] = {{"a moment", 50, 600, true},
                               {"as long as callers bear", 300, 600, true},
                               {"longer than that", 301, 20'000, false},
                               {"until just before the deadline", 250, 300, false},
                               {"beyond the deadline", 200, 150, false}};
    for (const wait_case& one : table) {
        CAPTURE(one.what);
        const bool waits = is_worth_waiting(now + milliseconds{one.rest_ms}, now + milliseconds{one.left_ms},
                                            objective, now);
        CHECK(waits == one.waits);
    }
}
