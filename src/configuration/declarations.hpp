#pragma once

#include "absl/status/status.h"
#include "configuration/record.hpp"
#include "link/link.hpp"
#include "organisation/organisation.hpp"
#include "report/service_level.hpp"
#include "target/target.hpp"

#include <map>
#include <set>
#include <string>

namespace dandelionstep {

//! A model that callers may ask for.
struct model {
    model_id id;
    std::string version;
    std::vector<std::string> adapters{};
    layer_index layer_count{};
    //! Time limit for a whole answer.
    milliseconds answer_window{60'000};
    service_level level{};
    //! Size of one token's activation as it is sent from one stage to the next.
    byte_count activation_bytes{16'384};
};

//! A plain service that takes orders and lookups.
struct service {
    service_id id;
    //! Paths whose POST requests may be repeated; a POST to any other path is an order.
    std::set<std::string> idempotent_paths{};
    //! Time limit for one call.
    milliseconds call_timeout{5'000};
    //! Whether a 503 of this service with the header "Outcome: not_run" proves that the request did not run.
    bool refusals_did_not_run = false;
    service_level level{};
};

//! All declared objects, as parsed from the records in force.
struct declarations {
    std::map<organisation_id, organisation> organisations;
    std::map<model_id, model> models;
    std::map<service_id, service> services;
    std::map<target_id, target> targets;
    std::vector<link> links;
    //! Targets that an operator is draining.
    std::set<target_id> draining;
};

//! Checks one record on its own; the error names the record and member, and says what was expected.
absl::Status validate(const configuration_record& record);

//! Adds, replaces or removes the object that the record declares. An error says why the record can't be read;
//! nothing is changed then.
absl::Status apply_record(declarations& all, const configuration_record& record);

} // namespace dandelionstep
