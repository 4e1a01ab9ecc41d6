#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace dandelionstep::testing {

//! One parser that meets bytes from outside.
struct fuzz_target {
    const char* name;
    void (*parse)(const std::string& bytes);
    //! Well-formed inputs that the mutations begin with.
    std::vector<std::string> seeds;
};

//! Every parser of both daemons and the tool.
const std::vector<fuzz_target>& fuzz_targets();

//! Mutates the seeds `iterations` times with the seed and parses each result; a fault ends the process.
//! Before each parse the input is kept in `last_input`, so that a crash leaves it behind.
void run_fuzz_target(const fuzz_target& target, unsigned long iterations, unsigned long seed,
                     std::string& last_input);

} // namespace dandelionstep::testing
