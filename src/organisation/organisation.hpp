#pragma once

#include "common/ids.hpp"

#include <string>

namespace dandelionstep {

//! A member association's customer: who sends requests, and its share of the system.
struct organisation {
    organisation_id id;
    //! SHA-256 of the bearer token, in hexadecimal; the token itself is never stored.
    std::string token_sha256;
    //! Share relative to other organisations when capacity is short.
    double weight = 1;
    //! Requests that one daemon serves for the organisation at once.
    std::int64_t max_in_flight = 256;
};

} // namespace dandelionstep
