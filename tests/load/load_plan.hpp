#pragma once

#include "common/clock.hpp"
#include "target/endpoint.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace dandelionstep::load {

//! An open-loop load: arrivals follow the trace whatever becomes of the answers.
struct load_plan {
    std::vector<endpoint> daemons;
    std::string token;
    std::string model = "assistant";
    double requests_per_second = 1;
    milliseconds duration{10'000};
    //! Figures are of the time from here to the duration's end.
    milliseconds warm_up{2'000};
    //! Time in which an answer must be whole, from its intended start.
    milliseconds window{10'000};
    std::int64_t least_tokens = 16;
    std::int64_t most_tokens = 48;
    std::uint64_t seed = 1;
    //! Tokens a second that the system can give at most.
    double bound = 0;
    std::string title;
    //! Where the report, the trace and the plot go: PREFIX.txt, PREFIX.trace and PREFIX.svg.
    std::string output_prefix;
};

//! One request of a trace.
struct arrival {
    milliseconds at;
    std::size_t daemon = 0;
    std::int64_t tokens = 0;
};

//! The arrivals of the plan, in order; equal plans give equal traces.
std::vector<arrival> make_trace(const load_plan& plan);

//! How one request ended; times are from the start of the run.
struct answered {
    arrival asked;
    milliseconds first_token{-1};
    milliseconds end{-1};
    //! When each token came.
    std::vector<milliseconds> tokens;
    bool whole = false;
    bool refused = false;
};

//! Sends the trace and waits for all answers, at most a window after the last arrival.
std::vector<answered> run_load(const load_plan& plan, const std::vector<arrival>& trace);

} // namespace dandelionstep::load
