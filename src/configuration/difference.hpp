#pragma once

#include "configuration/record.hpp"

#include <map>
#include <string>
#include <vector>

namespace dandelionstep {

//! How a proposed record changes one member.
struct member_difference {
    std::string member;
    //! JSON text; empty if the member is absent. The same holds for `after`.
    std::string before;
    std::string after;
};

//! How a proposed record changes the configuration in force.
enum class difference_kind { added, changed, removed, same };

//! One proposed record, compared with the record in force.
struct record_difference {
    record_key key;
    difference_kind kind = difference_kind::same;
    std::vector<member_difference> members;
};

//! Compares each proposed record with the one in force. A member that the proposed record leaves out counts
//! as removed, unless the record in force has a newer schema version.
std::vector<record_difference> differences(const std::map<record_key, configuration_record>& in_force,
                                           const std::vector<configuration_record>& proposed);

//! A line for each differing record ("+" added, "~" changed, "-" removed), followed by a line for each
//! differing member. Records that stay the same are left out.
std::string to_text(const std::vector<record_difference>& differences);

json to_json(const std::vector<record_difference>& differences);

} // namespace dandelionstep
