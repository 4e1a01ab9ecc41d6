#pragma once

#include "configuration/declarations.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace dandelionstep {

//! Engines of one layer range in one data centre.
struct engine_group {
    layer_range layers;
    //! Index into the data centres of the model's routes.
    std::size_t data_centre = 0;
    std::vector<target> engines;
    //! Prefix sums of the engines' rates; the last one is the rate of the group.
    std::vector<double> cumulative_tokens_per_second;
};

//! Data of one model for the choice of chains; it changes only with the configuration.
struct model_routes {
    model_variant variant;
    layer_index layer_count;
    //! Every data centre with engines of the model or a declared link.
    std::vector<data_centre_id> data_centres;
    //! Milliseconds of network time for one token between two data centres: one way for its activation, and
    //! one way back for the answer.
    std::vector<std::vector<double>> token_link_ms;
    //! Sorted by their first layer.
    std::vector<engine_group> groups;
    //! For each layer boundary, the indexes [first, last) of the groups that begin there.
    std::map<layer_index, std::pair<std::size_t, std::size_t>> groups_from;
    //! Least time of one token through all layers on idle engines, in milliseconds.
    double idle_token_ms = 0;
};

//! The routes of all models.
struct route_index {
    std::map<model_id, model_routes> models;
};

//! Builds the index; draining targets are left out. O(targets * log(targets)).
route_index build_route_index(const declarations& declared);

//! Caches the index of the current configuration and rebuilds it only when the revision changes.
class route_cache {
public:
    const route_index& at(revision number, const declarations& declared);

private:
    revision built_for{-1};
    route_index index;
};

} // namespace dandelionstep
