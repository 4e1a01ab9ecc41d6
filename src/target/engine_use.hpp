#pragma once

#include "common/ids.hpp"

#include <cstdint>
#include <map>

namespace dandelionstep {

//! What the requests of one or more daemons take of an engine.
struct engine_use {
    //! Requests that run on it.
    std::int64_t running = 0;
    //! Those of them that enter their path there.
    std::int64_t entered = 0;
    //! Tokens times layers that they need at the end.
    double token_layers = 0;
    //! Tokens of prompts times layers that it is given to read in a millisecond.
    double prefill_load = 0;

    friend bool operator==(const engine_use&, const engine_use&) = default;
};

void add_use(engine_use& sum, const engine_use& added);

//! The use of `factor` times as many requests of the same kind.
engine_use scaled(const engine_use& use, double factor);

//! The larger of both in each respect.
engine_use larger_of(const engine_use& a, const engine_use& b);

//! By engine; engines without use are left out.
using engine_uses = std::map<target_id, engine_use>;

} // namespace dandelionstep
