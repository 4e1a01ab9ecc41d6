#pragma once

#include "common/clock.hpp"
#include "support/entry_cluster.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dandelionstep::testing {

//! Starts replicas of a cluster anew some time after they ended, and counts their ends.
class replica_keeper {
public:
    replica_keeper(entry_cluster& cluster, milliseconds restart_pause)
        : cluster(cluster), restart_pause(restart_pause)
    {}

    void tend();
    void tend_for(milliseconds span);
    //! Waits until all replicas run.
    void restore();

    //! When replicas ended.
    [[nodiscard]] const std::vector<time_point>& ends() const { return this->ended_at; }
    [[nodiscard]] std::int64_t ends_after(time_point from) const;

private:
    entry_cluster& cluster;
    milliseconds restart_pause;
    std::vector<time_point> ended_at;
    std::map<std::string, time_point> restart_at;
};

} // namespace dandelionstep::testing
