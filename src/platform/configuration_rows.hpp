#pragma once

#include "absl/status/statusor.h"
#include "configuration/applied.hpp"
#include "platform/table.hpp"

#include <string>

namespace dandelionstep {

//! The row that holds the number of the newest accepted change.
inline constexpr std::string_view revision_row = "configuration/revision";
//! The rows that hold every record, by kind and name.
inline constexpr std::string_view record_rows = "configuration/record/";
//! The rows that hold every accepted change, by revision.
inline constexpr std::string_view change_rows = "configuration/change/";

//! The rows that tell which change ids were accepted.
inline constexpr std::string_view change_id_rows = "configuration/id/";

//! What the counter's row holds.
struct revision_state {
    revision number;
    records_digest digest = 0;
};

//! What the row of a change id holds.
struct change_id_state {
    //! The revision that the change produced; 0 when it was given up, so that its late execution fails.
    revision number;
    //! The SHA-256 of the change as it was asked for.
    std::string content;
};

std::string record_row_key(const record_key& key);
//! The row of one change; keys sort like the revisions.
std::string change_row_key(revision number);

json to_json(const accepted_change& change, const change_id& id);
absl::StatusOr<accepted_change> parse_change(const json& value);

std::string change_id_row_key(const change_id& id);

json to_json(const revision_state& state);
//! The counter's row; an absent one is that of revision 0.
revision_state parse_revision_row(const json& value);

json to_json(const change_id_state& settled);
change_id_state parse_change_id_row(const json& value);

} // namespace dandelionstep
