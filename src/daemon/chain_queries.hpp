#pragma once

#include "daemon/context.hpp"
#include "request/generation.hpp"
#include "route/choose_chain.hpp"

namespace dandelionstep {

//! What the request wants of its next chain.
chain_query chain_query_for(daemon_context& context, const generation_request& request,
                            const std::set<target_id>& excluded);

} // namespace dandelionstep
