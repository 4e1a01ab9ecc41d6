#pragma once

#include "common/outcome.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace dandelionstep {

//! Counts of answered requests, by kind of call and outcome.
struct request_counters {
    std::map<std::pair<std::string, outcome>, std::int64_t> answered;
    std::int64_t attempts_failed = 0;
    std::int64_t answers_dropped = 0;
};

//! The counts in Prometheus text format.
std::string to_prometheus(const request_counters& counters);

} // namespace dandelionstep
