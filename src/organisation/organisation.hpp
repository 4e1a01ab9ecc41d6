#pragma once

#include "common/ids.hpp"

#include <string>

namespace dandelionstep {

//! A customer of a member association: sends requests and has a share of the system's capacity.
struct organisation {
    organisation_id id;
    //! SHA-256 of the bearer token, in hexadecimal; the token itself is never stored.
    std::string token_sha256;
    //! Share of the capacity relative to other organisations while capacity is short.
    double weight = 1;
    //! Most requests that one daemon serves for the organisation at the same time.
    std::int64_t max_in_flight = 256;
};

} // namespace dandelionstep
