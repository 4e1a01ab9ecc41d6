#pragma once

#include "common/change_log.hpp"
#include "request/suspects.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace dandelionstep {

//! What a daemon knows of requests that end their targets, and what of it is told to other daemons.
struct shared_suspects {
    suspect_table table;
    //! Those that others know or are to know.
    std::set<request_fingerprint> shared;
    //! Numbers their changes.
    change_log<request_fingerprint> changes;
};

//! What daemons tell each other of suspects.
struct suspect_update {
    //! Number of the last change that is told.
    std::int64_t sequence = 0;
    std::vector<suspect_report> reports;
};

//! Has the suspect told to other daemons, as it is by now.
void share(shared_suspects& known, request_fingerprint request);

//! Takes over what another daemon told; returns the suspects that there was news of.
std::vector<request_fingerprint> merge_reports(shared_suspects& known,
                                               const std::vector<suspect_report>& reports, time_point now);

//! The shared suspects that changed after the change of that number, or all when it isn't given or not
//! remembered: the latest ones, as many as a message holds.
suspect_update updates_since(const shared_suspects& known, std::optional<std::int64_t> sequence,
                             time_point now);

//! One suspect as it is told.
suspect_report report_of(const suspect_table& table, request_fingerprint request, time_point now);

} // namespace dandelionstep
