#pragma once

#include "common/clock.hpp"
#include "common/ids.hpp"

#include <map>

namespace dandelionstep {

//! How often something happened of late: a count in which the past fades.
struct decaying_count {
    double value = 0;
    time_point at{0};
};

//! Shares a service that turns requests away among the organisations that ask for it. Answers the load of one
//! organisation that sends many times its usual: who asks for little gets all of it, and the others are held
//! to one level, which falls with each request that finds no room and rises with each that finds some.
struct fair_share {
    //! Requests of each organisation.
    std::map<organisation_id, decaying_count> requests;
    //! When those were last removed that ask no more.
    time_point pruned_at{0};
    //! Requests that found room.
    decaying_count accepted;
    //! Requests of one organisation that may be sent on, counted in the same way; none is held back when 0.
    double common_limit = 0;
    time_point common_limit_changed_at{0};
    //! When a request last found no room.
    time_point overloaded_at{0};
};

//! Notes that the organisation asks for something.
void note_organisation_request(fair_share& share, const organisation_id& organisation, time_point now);
//! Notes that a request found room.
void note_accepted(fair_share& share, time_point now);
//! Notes that a request found none, though every target that could take it was asked.
void note_overload(fair_share& share, time_point now);

//! The part of the organisation's requests, 0 to 1, that are to be sent on.
double admitted_fraction(const fair_share& share, const organisation_id& organisation, time_point now);

} // namespace dandelionstep
