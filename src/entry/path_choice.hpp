#pragma once

#include "entry/entry_context.hpp"
#include "route/layer_path.hpp"

#include <set>
#include <vector>

namespace dandelionstep {

//! A path as it is sent, and what it was chosen from.
struct chosen_path {
    std::vector<hop> hops;
};

//! Chooses engines for layers [from_layer, layers) of the service's model, without the excluded ones. Empty
//! when there is no path.
chosen_path choose_path(entry_context& context, const entry_service& service, std::int64_t from_layer,
                        const hop* previous, const std::set<target_id>& excluded);

//! Notes that a request with `tokens` in all runs along the hops.
void occupy_path(entry_context& context, const std::vector<hop>& hops, std::int64_t tokens);
//! Notes that it no longer does.
void release_path(entry_context& context, const std::vector<hop>& hops, std::int64_t tokens);

} // namespace dandelionstep
