#pragma once

#include "common/ids.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace dandelionstep {

//! What the requests of one or more daemons use of an engine.
struct engine_use {
    //! Requests in flight on the engine.
    std::int64_t running = 0;
    //! Those of them for which it is the first engine of their path.
    std::int64_t entered = 0;
    //! KV cache that they need when they are complete, in tokens times layers.
    double token_layers = 0;
    //! Prefill load that they bring: prompt tokens times layers per millisecond.
    double prefill_load = 0;
    //! Tokens that the requests are still expected to generate; nullopt if unknown.
    std::optional<double> remaining = std::nullopt;

    friend bool operator==(const engine_use&, const engine_use&) = default;
};

//! Where the remaining tokens of one part are unknown, its requests are taken to be like those of the other.
void add_use(engine_use& sum, const engine_use& added);

//! The use by `factor` times as many requests of the same kind.
engine_use scaled(const engine_use& use, double factor);

//! The maximum of each member.
engine_use larger_of(const engine_use& a, const engine_use& b);

//! Use by engine; engines without use are left out.
using engine_uses = std::map<target_id, engine_use>;

} // namespace dandelionstep
