#pragma once

#include "configuration/declarations.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace dandelionstep {

//! A digest of a set of records, over their keys and the revisions that last changed them.
using records_digest = std::uint64_t;

//! One accepted change: the revision that it produced and the records that it wrote.
struct accepted_change {
    revision number;
    std::vector<configuration_record> records;
    //! The digest of all records after the change.
    records_digest digest = 0;
};

//! All records as of one revision.
struct configuration_snapshot {
    revision number;
    std::vector<configuration_record> records;
    //! The digest of all records, as the source of the snapshot states it.
    records_digest digest = 0;
};

//! The configuration in force on one daemon; its revision never goes down. It is -1 until one was applied.
struct applied_configuration {
    revision number{-1};
    records_digest digest = 0;
    std::map<record_key, configuration_record> records;
    declarations declared;
    //! Records that this build could not read, with the reason; what they last declared stays in force.
    std::map<record_key, std::string> unreadable;
};

//! The result of applying a change or a snapshot.
enum class apply_result {
    applied,
    already_known, //!< The revision in force is the same or newer.
    gap,           //!< Changes before this one are missing; a snapshot is needed.
    inconsistent,  //!< The records don't match the digest, for example because of a stale read.
};

//! Applies the change that directly follows the revision in force; any other change is not applied.
apply_result apply_change(applied_configuration& state, const accepted_change& change);

//! Replaces the whole state by a newer snapshot; an older or equal one is not applied.
apply_result apply_snapshot(applied_configuration& state, const configuration_snapshot& snapshot);

//! What one record contributes to the digest, which is the sum of all contributions modulo 2^64.
records_digest digest_of(const record_key& key, revision changed_at);

//! A snapshot of the state, for a peer that misses changes.
configuration_snapshot snapshot_of(const applied_configuration& state);

} // namespace dandelionstep
