#pragma once

#include "route/choose_chain.hpp"

#include <optional>

namespace dandelionstep {

//! An engine of a group, and what one token is estimated to cost there.
struct engine_pick {
    const target* engine = nullptr;
    //! Milliseconds for each token, the prefill's share included.
    double cost_ms = 0;
};

//! Whether the query may use the engine now.
bool may_use(const target& engine, const health_map& health, const chain_query& query, time_point now);

//! The cheapest of a few engines that are drawn in proportion to their rates; nullopt when none is eligible.
std::optional<engine_pick> pick_engine(const model_routes& routes, std::size_t group,
                                       const health_map& health, const chain_query& query, time_point now);

} // namespace dandelionstep
