#pragma once

#include "common/outcome.hpp"
#include "report/latency_histogram.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace dandelionstep {

//! How long completed requests of one kind took.
struct request_latencies {
    //! Until the first token, or the whole answer of a plain service.
    latency_histogram first;
    latency_histogram whole;
};

//! Counts of answered requests, by kind of call and outcome.
struct request_counters {
    std::map<std::pair<std::string, outcome>, std::int64_t> answered;
    std::map<std::string, request_latencies> latencies;
    std::int64_t attempts_failed = 0;
    std::int64_t answers_dropped = 0;
};

//! The counts in Prometheus text format.
std::string to_prometheus(const request_counters& counters);

} // namespace dandelionstep
