#pragma once

#include "absl/status/statusor.h"
#include "configuration/applied.hpp"
#include "platform/table.hpp"

#include <string>

namespace dandelionstep {

//! Key of the counter row, which holds the revision of the newest accepted change.
inline constexpr std::string_view revision_row = "configuration/revision";
//! Key prefix of the records' rows; kind and name follow.
inline constexpr std::string_view record_rows = "configuration/record/";
//! Key prefix of the change log, which holds the latest accepted changes; the revision follows.
inline constexpr std::string_view change_rows = "configuration/change/";

//! Key prefix of the rows by which a repeated change is recognised; the change id follows.
inline constexpr std::string_view change_id_rows = "configuration/id/";

//! The content of the counter row.
struct revision_state {
    revision number;
    //! The digest of all records as of the revision.
    records_digest digest = 0;
};

//! The content of the row of a change id.
struct change_id_state {
    //! The revision that the change produced; 0 if it was cancelled, so that a late execution of it fails.
    revision number;
    //! SHA-256 (hex) of the change as it was proposed.
    std::string content;
};

std::string record_row_key(const record_key& key);
//! The key of a change's row; the keys sort in the order of the revisions.
std::string change_row_key(revision number);

json to_json(const accepted_change& change, const change_id& id);
//! Parses a row of the change log. InvalidArgument: the message names the member.
absl::StatusOr<accepted_change> parse_change(const json& value);

std::string change_id_row_key(const change_id& id);

json to_json(const revision_state& state);
//! Parses the counter row; missing members are read as 0. An absent row stands for revision 0.
revision_state parse_revision_row(const json& value);

json to_json(const change_id_state& id_state);
change_id_state parse_change_id_row(const json& value);

} // namespace dandelionstep
