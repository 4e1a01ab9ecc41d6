#pragma once

#include "configuration/declarations.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace dandelionstep {

//! Identifies a set of records by the revisions that last changed them.
using records_digest = std::uint64_t;

//! One accepted change: the records that it wrote and the revision that it produced.
struct accepted_change {
    revision number;
    std::vector<configuration_record> records;
    //! The digest of all records after the change.
    records_digest digest = 0;
};

//! Every record as of one revision.
struct configuration_snapshot {
    revision number;
    std::vector<configuration_record> records;
    //! The digest of all records, as its source gives it.
    records_digest digest = 0;
};

//! The configuration in force on one daemon; its revision never goes down.
struct applied_configuration {
    revision number{-1};
    records_digest digest = 0;
    std::map<record_key, configuration_record> records;
    declarations declared;
    //! Records that this build could not read, with the reason; what they last declared stays in force.
    std::map<record_key, std::string> unreadable;
};

//! What applying news did.
enum class apply_result {
    applied,
    already_known,
    gap,          //!< Changes in between are missing; a snapshot is needed.
    inconsistent, //!< The records are not those of that revision, for example because a read was stale.
};

//! Applies the next change; a change that is not the direct successor changes nothing.
apply_result apply_change(applied_configuration& state, const accepted_change& change);

//! Replaces everything by a newer snapshot; an older or equal one changes nothing.
apply_result apply_snapshot(applied_configuration& state, const configuration_snapshot& snapshot);

//! What one record adds to the digest; digests of records add up modulo 2^64.
records_digest digest_of(const record_key& key, revision changed_at);

//! Everything in force, for a peer that has a gap.
configuration_snapshot snapshot_of(const applied_configuration& state);

} // namespace dandelionstep
