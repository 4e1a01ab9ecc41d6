#pragma once

#include "common/clock.hpp"
#include "common/ids.hpp"

#include <map>

namespace dandelionstep {

//! A count of recent events, which decays exponentially with time.
struct decaying_count {
    double value = 0;
    time_point at{0};
};

//! Divides an overloaded service among organisations by max-min fairness, for the case that one organisation
//! sends many times its usual load. Organisations with few requests get all of them through; the others are
//! held to a common limit, which falls while requests are refused by all targets and rises while they are
//! accepted.
struct fair_share {
    //! Recent requests of each organisation.
    std::map<organisation_id, decaying_count> requests;
    //! When organisations without recent requests were last removed.
    time_point pruned_at{0};
    //! Recent requests that a target accepted.
    decaying_count accepted;
    //! Most recent requests of one organisation that are admitted, counted in the same way; 0 means no limit.
    double common_limit = 0;
    time_point common_limit_changed_at{0};
    //! When a request was last refused for lack of capacity.
    time_point overloaded_at{0};
};

//! Notes a request of the organisation.
void note_organisation_request(fair_share& share, const organisation_id& organisation, time_point now);
//! Notes that a target accepted a request.
void note_accepted(fair_share& share, time_point now);
//! Notes that a request was refused by every target that could have run it.
void note_overload(fair_share& share, time_point now);

//! The fraction of the organisation's requests to admit, 0 to 1.
double admitted_fraction(const fair_share& share, const organisation_id& organisation, time_point now);

} // namespace dandelionstep
