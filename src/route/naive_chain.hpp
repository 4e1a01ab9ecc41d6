#pragma once

#include "route/choose_chain.hpp"

namespace dandelionstep {

//! The engines of a chain chosen stage by stage by one of the simple policies; empty when there is none.
std::vector<target> choose_naive_stages(const model_routes& routes, const health_map& health,
                                        const chain_query& query, time_point now);

} // namespace dandelionstep
