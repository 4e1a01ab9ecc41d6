#pragma once

#include "adapters/platform_client.hpp"
#include "common/outcome.hpp"
#include "configuration/record.hpp"

#include <functional>
#include <string>
#include <vector>

namespace dandelionstep {

//! A change that an operator asks for.
struct proposed_change {
    change_id id;
    std::vector<configuration_record> records;
};

//! What became of a proposed change; the outcome is `completed` when it was accepted.
struct change_answer {
    outcome result = outcome::not_run;
    error_code code = error_code::bad_request;
    revision number;
    std::string message;
};

//! Commits a change in one transaction: its records, its log row and the revision counter, each by
//! compare-and-set.
void commit_change(platform_client& platform, const proposed_change& change,
                   std::function<void(const change_answer&)> done);

} // namespace dandelionstep
