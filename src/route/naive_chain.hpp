#pragma once

#include "route/choose_chain.hpp"

namespace dandelionstep {

//! Chooses the engines of a chain stage by stage by one of the baseline policies; empty if there is no chain.
std::vector<target> choose_naive_stages(const model_routes& routes, const health_map& health,
                                        const chain_query& query, time_point now);

} // namespace dandelionstep
