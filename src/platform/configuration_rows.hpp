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

std::string record_row_key(const record_key& key);
//! The row of one change; keys sort like the revisions.
std::string change_row_key(revision number);

json to_json(const accepted_change& change, const change_id& id);
absl::StatusOr<accepted_change> parse_change(const json& value);

//! The revision that the counter's row holds; 0 when it is absent.
revision parse_revision_row(const json& value);

} // namespace dandelionstep
