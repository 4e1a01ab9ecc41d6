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

//! An ordered list of hops whose layer ranges tile [0, L) of one model variant; no other kind can be built.
class chain {
public:
    //! Fails when the targets are not engines of the variant or their ranges do not tile [0, layer_count).
    static absl::StatusOr<chain> make(const model_variant& variant, layer_index layer_count,
                                      const std::vector<target>& stages);

    [[nodiscard]] const std::vector<hop>& hops() const { return this->stages; }
    [[nodiscard]] const model_variant& variant() const { return this->runs; }
    [[nodiscard]] bool contains(const target_id& target) const;

private:
    chain(model_variant variant, std::vector<hop> hops) : runs(std::move(variant)), stages(std::move(hops)) {}

    model_variant runs;
    std::vector<hop> stages;
};

} // namespace dandelionstep
