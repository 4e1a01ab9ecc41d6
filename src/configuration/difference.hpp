#pragma once

#include "configuration/record.hpp"

#include <map>
#include <string>
#include <vector>

namespace dandelionstep {

//! What applying a record would do to one of its members.
struct member_difference {
    std::string member;
    //! As JSON text; empty where the member is absent.
    std::string before;
    std::string after;
};

//! What applying a record would do.
enum class difference_kind { added, changed, removed, same };

//! One record of a proposed change, compared with what is in force.
struct record_difference {
    record_key key;
    difference_kind kind = difference_kind::same;
    std::vector<member_difference> members;
};

//! Compares each proposed record with the one in force. Members that the proposal leaves out count as removed
//! only where the proposal's schema version is no older than the one in force.
std::vector<record_difference> differences(const std::map<record_key, configuration_record>& in_force,
                                           const std::vector<configuration_record>& proposed);

//! One line for each difference: "+" added, "~" changed, "-" removed; nothing for records that stay the same.
std::string to_text(const std::vector<record_difference>& differences);

json to_json(const std::vector<record_difference>& differences);

} // namespace dandelionstep
