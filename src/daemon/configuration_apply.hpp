#pragma once

#include "absl/status/statusor.h"
#include "adapters/platform_client.hpp"
#include "configuration/change_commit.hpp"

#include <functional>
#include <string>
#include <vector>

namespace dandelionstep {

//! A change as an operator sent it.
struct received_change {
    proposed_change change;
    //! The operator gave the change id, so that it may have been applied before.
    bool id_given = false;
};

//! Parses an operator's request; the error names the record and the member.
absl::StatusOr<received_change> parse_received_change(const std::string& body, const std::string& fresh_id);

//! Commits a change in one transaction: its records, its log row and the revision counter, each by
//! compare-and-set.
void commit_change(platform_client& platform, const received_change& received,
                   std::vector<schema_reader> readers, std::function<void(const change_answer&)> done);

} // namespace dandelionstep
