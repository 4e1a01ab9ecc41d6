#pragma once

#include "absl/status/statusor.h"
#include "target/target.hpp"

#include <vector>

namespace dandelionstep {

//! One stage of a pipeline.
struct hop {
    target_id target;
    data_centre_id data_centre;
    endpoint address;
    layer_range layers;
};

//! An ordered list of hops that cover every layer of one model variant exactly once. Only make() builds one.
class chain {
public:
    //! Fails if a target is not an engine of the variant, or if the layer ranges do not cover
    //! [0, layer_count) in order, without gap or overlap.
    static absl::StatusOr<chain> make(const model_variant& variant, layer_index layer_count,
                                      const std::vector<target>& stages);

    [[nodiscard]] const std::vector<hop>& hops() const { return this->stages; }
    [[nodiscard]] const model_variant& variant() const { return this->served_variant; }
    [[nodiscard]] bool contains(const target_id& target) const;

private:
    chain(model_variant variant, std::vector<hop> hops)
        : served_variant(std::move(variant)), stages(std::move(hops))
    {}

    model_variant served_variant;
    std::vector<hop> stages;
};

} // namespace dandelionstep
