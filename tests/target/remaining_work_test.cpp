#include "target/remaining_work.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;

TEST_CASE("an answer that grows beyond its expected length is expected to go on, up to its longest one")
{
    CHECK(revised_answer_tokens(100, 60, 600) == 100);
    CHECK(revised_answer_tokens(100, 100, 600) == 150);
    CHECK(revised_answer_tokens(100, 500, 600) == 600);
    CHECK(revised_answer_tokens(100, 100, 0) == 150);
    CHECK(revised_answer_tokens(100, 700, 600) == 700);
}

TEST_CASE("calls count with the time that they still need, and not at all once they are overdue")
{
    std::vector<call_work> calls = {{{1'000}, 100}, {{1'050}, 20}};
    CHECK(remaining_ms(calls, {1'060}) == doctest::Approx(50));
    CHECK(remaining_ms(calls, {9'000}) == 0);
    end_call(calls, call_work{{1'000}, 100});
    end_call(calls, std::nullopt);
    CHECK(calls.size() == 1);
}

// A remaining work that is wrong by any factor must not hide the running requests.
TEST_CASE("requests that end soon count less beside a long answer, but never less than half")
{
    const double all = mean_running({20, 20 * 1'000.0, 10}, 100);
    const double few = mean_running({20, 20 * 50.0, 10}, 100);
    CHECK(all > few);
    CHECK(all <= 20);
    CHECK(few >= 15);
    CHECK(mean_running({20, 0, 10}, 100) == doctest::Approx(15));
    CHECK(mean_running({20, std::nullopt, 10}, 100) == 20);
    CHECK(mean_running({0, 0, 10}, 100) == 0);
}
