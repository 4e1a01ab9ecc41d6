#pragma once

#include "common/change_log.hpp"
#include "request/suspects.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace dandelionstep {

//! The suspects that a daemon knows: requests that may crash their targets, and which of them it shares with
//! other daemons.
struct shared_suspects {
    suspect_table table;
    //! The suspects that are shared with other daemons.
    std::set<request_fingerprint> shared;
    //! The numbered changes of the shared suspects.
    change_log<request_fingerprint> changes;
};

//! A message with which daemons share suspects.
struct suspect_update {
    //! The number of the last change that the message covers.
    std::int64_t sequence = 0;
    std::vector<suspect_report> reports;
};

//! Shares the current state of the suspect with other daemons.
void share(shared_suspects& known, request_fingerprint request);

//! Merges what another daemon reported, and shares each suspect that changed; returns these.
std::vector<request_fingerprint> merge_reports(shared_suspects& known,
                                               const std::vector<suspect_report>& reports, time_point now);

//! The shared suspects that changed after the change number `sequence`, or all of them when the number is
//! absent or no longer in the log. A message is limited to the most recent suspects.
suspect_update updates_since(const shared_suspects& known, std::optional<std::int64_t> sequence,
                             time_point now);

//! The report of one suspect, which must be in the table.
suspect_report report_of(const suspect_table& table, request_fingerprint request, time_point now);

} // namespace dandelionstep
