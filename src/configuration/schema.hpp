#pragma once

#include "configuration/record.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace dandelionstep {

//! The newest schema version that one daemon reads.
struct schema_reader {
    vm_id vm;
    std::int64_t newest_version = newest_schema_version;
};

//! Whether a writer of the schema version knows the member of records of that kind.
bool is_known_member(std::string_view kind, std::string_view member, std::int64_t schema_version);

//! What is stored when `written` replaces `stored`: members of a newer schema that the writer can't know are
//! kept.
configuration_record merge_over(const configuration_record& stored, const configuration_record& written);

//! The daemons that can't read records of the schema version.
std::vector<vm_id> unable_to_read(const std::vector<schema_reader>& readers, std::int64_t schema_version);

} // namespace dandelionstep
