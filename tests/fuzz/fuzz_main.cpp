#include "fuzz/fuzz_targets.hpp"

#include <CLI/CLI.hpp>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <unistd.h>

namespace {

std::string last_input;
std::string crash_path;

// Keeps the input that brought the parser down, then lets the fault take its course.
void keep_input(int number)
{
    std::ofstream(crash_path, std::ios::binary) << last_input;
    std::signal(number, SIG_DFL);
    raise(number);
}

} // namespace

int main(int argument_count, char** arguments)
{
    using namespace dandelionstep::testing;
    CLI::App app("Feeds mutated inputs to every parser that meets outside bytes.");
    unsigned long seconds = 60;
    unsigned long seed = 1;
    std::string only;
    app.add_option("--seconds", seconds, "Time for each parser");
    app.add_option("--seed", seed, "Seed of the mutations");
    app.add_option("--target", only, "One parser only");
    app.add_option("--crash-file", crash_path, "Where an input that brings a parser down is kept")
        ->default_val("fuzz-crash");
    CLI11_PARSE(app, argument_count, arguments);

    for (const int number : {SIGSEGV, SIGABRT, SIGFPE, SIGBUS, SIGILL}) {
        std::signal(number, keep_input);
    }
    constexpr unsigned long batch = 1000;
    for (const fuzz_target& target : fuzz_targets()) {
        if (!only.empty() && only != target.name) {
            continue;
        }
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
        unsigned long inputs = 0;
        while (std::chrono::steady_clock::now() < end) {
            run_fuzz_target(target, batch, seed + inputs, last_input);
            inputs += batch;
        }
        std::cout << "target=" << target.name << " inputs=" << inputs << " faults=0" << std::endl;
    }
    return 0;
}
