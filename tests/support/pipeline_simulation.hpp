#pragma once

#include "route/choose_chain.hpp"

#include <functional>
#include <string>
#include <vector>

namespace dandelionstep::testing {

//! A condition of the simulated system that begins at one moment.
struct simulated_fault {
    double at_ms = 0;
    std::string target;
    enum class kind { dies, slows, reports_nothing } what = kind::dies;
    double slow_factor = 1;
};

//! One organisation's arrivals.
struct simulated_organisation {
    std::string name;
    double weight = 1;
    double offered_tokens_per_second = 0;
    double from_ms = 0;
    double until_ms = 1e12;
};

//! What one organisation got.
struct organisation_result {
    std::int64_t requests = 0;
    std::int64_t whole_in_window = 0;
    std::int64_t refused = 0;
    //! From arrival to the first token, of answers that were whole.
    double p95_first_token_ms = 0;
};

//! A run of a pipeline in virtual time, with daemons that know loads only by late reports and by what they
//! sent.
struct simulation_plan {
    declarations declared;
    std::size_t daemons = 1;
    chain_policy policy = chain_policy::least_cost;
    //! Tokens a second that callers ask for, over all daemons.
    double offered_tokens_per_second = 0;
    //! In place of the above, arrivals by organisation.
    std::vector<simulated_organisation> organisations;
    //! Whether each daemon admits requests by `admission`, or lets all in.
    bool admission = false;
    double duration_ms = 30'000;
    //! The rate is measured from here to the end of the duration.
    double warm_up_ms = 3'000;
    //! Time in which an answer must be whole.
    double window_ms = 6'000;
    double report_interval_ms = 1'000;
    double report_lag_ms = 200;
    std::int64_t least_tokens = 16;
    std::int64_t most_tokens = 48;
    std::uint64_t seed = 1;
    std::vector<simulated_fault> faults;
};

//! What a run gave.
struct simulation_result {
    //! Tokens of answers that were whole within the window, for each second of the time measured.
    double good_tokens_per_second = 0;
    std::int64_t requests = 0;
    std::int64_t whole_in_window = 0;
    std::int64_t refused = 0;
    double p95_token_gap_ms = 0;
    double p95_first_token_ms = 0;
    std::map<std::string, organisation_result> organisations;
    //! Requests that were sent through each target.
    std::map<target_id, std::int64_t> sent;
    //! The most requests that each target held at once.
    std::map<target_id, std::int64_t> most_held;
};

//! Runs the plan; equal plans give equal results.
simulation_result simulate(const simulation_plan& plan);

//! A model of 12 layers in three stages on four kinds of accelerators, in the given data centres, which hold
//! the same engines. `replicas` engines for each stage and data centre, rates up to fourfold apart.
declarations mixed_pipeline(const std::vector<std::string>& data_centres, int replicas);

} // namespace dandelionstep::testing
