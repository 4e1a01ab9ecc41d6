#pragma once

#include "load_plan.hpp"

namespace dandelionstep::load {

//! The figures of one run.
struct load_figures {
    //! Tokens of answers that were whole within the window, for each second of the time measured.
    double good_tokens_per_second = 0;
    //! The same over the bound.
    double ratio = 0;
    std::size_t requests = 0;
    std::size_t whole = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    std::size_t failed = 0;
    double p50_first_token_ms = 0;
    double p95_first_token_ms = 0;
    double p50_token_gap_ms = 0;
    double p95_token_gap_ms = 0;
    //! Good tokens in each second of the run.
    std::vector<double> good_by_second;
};

//! Works the figures out; latencies are from the intended start.
load_figures figures_of(const load_plan& plan, const std::vector<answered>& results);

//! One line of key=value pairs.
std::string figures_line(const load_plan& plan, const load_figures& figures);

//! Writes the text report, the trace and the plot.
void write_report(const load_plan& plan, const load_figures& figures, const std::vector<answered>& results);

} // namespace dandelionstep::load
