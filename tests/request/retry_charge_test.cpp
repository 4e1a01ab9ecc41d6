#include "support/generation_bench.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

const open_attempt* opened(const std::vector<generation_action>& actions)
{
    for (const generation_action& action : actions) {
        if (const auto* open = std::get_if<open_attempt>(&action)) {
            return open;
        }
    }
    return nullptr;
}

} // namespace

TEST_CASE("only an attempt that follows one without any token counts against the retry budget")
{
    generation_bench bench;
    const auto first = bench.on(generation_started{});
    REQUIRE(opened(first) != nullptr);
    CHECK_FALSE(opened(first)->is_retry);

    SUBCASE("after an attempt without a token")
    {
        const auto next = bench.fail(attempt_failure::reset, "");
        REQUIRE(opened(next) != nullptr);
        CHECK(opened(next)->is_retry);
    }
    SUBCASE("after an attempt that delivered a token")
    {
        bench.on(token_received{bench.state.attempt, token_count{0}, "lye "});
        const auto next = bench.fail(attempt_failure::reset, "");
        REQUIRE(opened(next) != nullptr);
        CHECK_FALSE(opened(next)->is_retry);
        CHECK(next_is_retry(bench.state));
    }
}
