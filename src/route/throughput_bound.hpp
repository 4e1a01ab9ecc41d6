#pragma once

#include "configuration/declarations.hpp"

#include <set>
#include <vector>

namespace dandelionstep {

//! What limits a model's throughput: the targets of one layer range in one data centre, or one link at one
//! layer boundary.
struct bottleneck {
    //! Layer range of the targets; for a link, begin and end are both the boundary at which it is crossed.
    layer_range layers;
    data_centre_id from;
    //! Equal to `from` for targets.
    data_centre_id to;
    //! Number of targets; 0 for a link.
    std::int64_t targets = 0;
    double tokens_per_second = 0;
};

//! Upper bound on the tokens per second of a model's targets and links together.
struct throughput_bound {
    double tokens_per_second = 0;
    //! A minimum cut: the capacities of its members add up to the bound.
    std::vector<bottleneck> cut;
};

//! Tokens per second that the link's bandwidth allows between two stages of the model.
double tokens_per_second_of(const link& path, const model& carried);

//! Computes the maximum flow through the model's layer ranges and links, without draining targets and those
//! in `lost`. Every layer boundary has the whole bandwidth of a link to itself, so the bound is exact only
//! where each link is crossed at one boundary. Zero if the model is not declared or some layer is held by no
//! target.
throughput_bound find_throughput_bound(const declarations& declared, const model_id& name,
                                       const std::set<target_id>& lost = {});

} // namespace dandelionstep
