#pragma once

#include "absl/status/statusor.h"
#include "common/ids.hpp"
#include "common/json.hpp"

#include <compare>
#include <string>
#include <vector>

namespace dandelionstep {

//! The key of a record: its kind and its name within the kind.
struct record_key {
    std::string kind;
    std::string name;

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on the 0 in the generated comparison
    friend auto operator<=>(const record_key&, const record_key&) = default;
};

//! The newest schema version that this build reads.
inline constexpr std::int64_t newest_schema_version = 1;

//! A configuration record as operators write it and the platform's table stores it.
struct configuration_record {
    record_key key;
    std::int64_t schema_version = newest_schema_version;
    //! All members as written, including members that this build does not know.
    json body = json::object();
    //! A deleted record stays in the table as a tombstone, so that an older change can't bring it back.
    bool deleted = false;
    //! The revision that last changed the record; 0 before the record is accepted.
    revision changed_at;
};

//! Parses a record as the platform's table stores it. InvalidArgument: the message names the member.
absl::StatusOr<configuration_record> parse_record(const json& value);

//! The record as the platform's table stores it.
json to_json(const configuration_record& record);

//! Parses a TOML file of [[record]] tables. InvalidArgument: the message names the line and the key.
absl::StatusOr<std::vector<configuration_record>> parse_declarations(const std::string& toml_text,
                                                                     const std::string& file_name);

} // namespace dandelionstep
