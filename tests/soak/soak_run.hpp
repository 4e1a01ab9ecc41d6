#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace dandelionstep::soak {

//! Size of a run.
struct soak_options {
    std::uint64_t seed = 1;
    //! How long faults are injected.
    int seconds = 8;
    std::size_t daemons = 3;
    int callers = 6;
    //! Whether planned stops of all daemons follow the faults, in which no request may be lost.
    bool stops_in_series = true;
    //! Whether plain replicas' refusals come once more over kept connections.
    bool repeats_refusals = true;
    //! Whether the store comes back from older copies.
    bool restores_store = true;
    //! Where the logs of a run that broke a promise are kept, a folder for each seed; nowhere when empty.
    std::string keep_logs_in;
};

//! What a run found.
struct soak_result {
    //! Broken promises, one line each.
    std::vector<std::string> violations;
    //! What was done, in order.
    std::vector<std::string> actions;
    std::int64_t requests = 0;
    std::int64_t served = 0;
    //! How often the store came back from an older copy.
    std::int64_t restores = 0;
    //! Of those asked on days of planned work.
    std::int64_t refused = 0;
};

//! Runs store, replicas and daemons as processes with proxies between them, injects faults drawn from the
//! seed in series and overlapping, and checks what callers and replicas saw.
soak_result run_soak(const soak_options& options);

} // namespace dandelionstep::soak
