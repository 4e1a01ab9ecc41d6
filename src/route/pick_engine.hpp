#pragma once

#include "route/choose_chain.hpp"

#include <optional>

namespace dandelionstep {

//! An engine of a group, and the estimated cost of one token there.
struct engine_pick {
    const target* engine = nullptr;
    //! Milliseconds per token, including the token's share of the prefill.
    double cost_ms = 0;
};

//! Whether the engine is eligible now and not excluded by the query.
bool may_use(const target& engine, const health_map& health, const chain_query& query, time_point now);

//! Samples a few of the group's engines in proportion to their rates and returns the cheapest of them;
//! nullopt if no engine of the group is eligible.
std::optional<engine_pick> pick_engine(const model_routes& routes, std::size_t group,
                                       const health_map& health, const chain_query& query, time_point now);

} // namespace dandelionstep
