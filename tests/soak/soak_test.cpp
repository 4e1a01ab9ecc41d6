#include "soak/soak_run.hpp"

#include <doctest/doctest.h>
#include <fstream>
#include <sstream>

using namespace dandelionstep::soak;

namespace {

// Seeds that failed once, one a line, each followed by a word on the cause.
std::vector<std::uint64_t> regression_seeds()
{
    std::vector<std::uint64_t> seeds;
    std::ifstream file(SOAK_REGRESSIONS);
    std::string line;
    while (std::getline(file, line)) {
        std::istringstream words(line);
        std::uint64_t seed = 0;
        if (words >> seed) {
            seeds.push_back(seed);
        }
    }
    return seeds;
}

void check_seed(std::uint64_t seed)
{
    CAPTURE(seed);
    const soak_result result = run_soak({.seed = seed, .seconds = 6, .daemons = 3, .callers = 4});
    for (const std::string& violation : result.violations) {
        FAIL_CHECK(violation);
    }
    if (!result.violations.empty()) {
        for (const std::string& action : result.actions) {
            MESSAGE(action);
        }
    }
    CHECK(result.requests > 20);
    CHECK(result.served > 0);
}

} // namespace

TEST_CASE("promises hold under faults from outside the processes")
{
    check_seed(1);
}

TEST_CASE("seeds that failed once hold now")
{
    for (const std::uint64_t seed : regression_seeds()) {
        check_seed(seed);
    }
}
