#pragma once

#include "configuration/record.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace dandelionstep {

//! A daemon and the newest schema version that it reads.
struct schema_reader {
    vm_id vm;
    std::int64_t newest_version = newest_schema_version;
};

//! Whether the schema version defines the member for records of the kind.
bool is_known_member(std::string_view kind, std::string_view member, std::int64_t schema_version);

//! The record to store when `written` replaces `stored`. Members of a newer schema, which the writer doesn't
//! know, are kept.
configuration_record merge_over(const configuration_record& stored, const configuration_record& written);

//! The daemons that can't read records with the schema version.
std::vector<vm_id> unable_to_read(const std::vector<schema_reader>& readers, std::int64_t schema_version);

} // namespace dandelionstep
