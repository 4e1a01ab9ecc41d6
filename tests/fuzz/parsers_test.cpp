#include "fuzz/fuzz_targets.hpp"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace dandelionstep::testing;

TEST_CASE("no mutated input brings a parser down")
{
    constexpr unsigned long iterations = 4000;
    std::string last_input;
    for (const fuzz_target& target : fuzz_targets()) {
        CAPTURE(target.name);
        run_fuzz_target(target, iterations, 1, last_input);
    }
    CHECK_FALSE(last_input.empty());
}

TEST_CASE("inputs that once brought a parser down no longer do")
{
    int replayed = 0;
    for (const fuzz_target& target : fuzz_targets()) {
        const std::filesystem::path folder = std::filesystem::path(FUZZ_CORPUS) / target.name;
        if (!std::filesystem::exists(folder)) {
            continue;
        }
        for (const auto& entry : std::filesystem::directory_iterator(folder)) {
            std::ifstream file(entry.path(), std::ios::binary);
            std::ostringstream bytes;
            bytes << file.rdbuf();
            target.parse(bytes.str());
            ++replayed;
        }
    }
    MESSAGE("replayed " << replayed << " kept inputs");
}
