#include "route/chain.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>

namespace dandelionstep {

absl::StatusOr<chain> chain::make(const model_variant& variant, layer_index layer_count,
                                  const std::vector<target>& stages)
{
    std::vector<hop> hops;
    layer_index next{0};
    for (const target& stage : stages) {
        if (!stage.engine || stage.engine->variant != variant) {
            return absl::InvalidArgumentError(absl::StrCat("target \"", stage.id.value,
                                                           "\" does not hold model \"", variant.model.value,
                                                           "\" version \"", variant.version, "\""));
        }
        const layer_range layers = stage.engine->layers;
        if (layers.begin != next || layers.end <= layers.begin) {
            return absl::InvalidArgumentError(absl::StrCat("target \"", stage.id.value, "\" starts at layer ",
                                                           layers.begin.value, ", expected ", next.value));
        }
        next = layers.end;
        hops.push_back({stage.id, stage.data_centre, stage.address, layers});
    }
    if (next != layer_count || hops.empty()) {
        return absl::InvalidArgumentError(absl::StrCat("the stages of model \"", variant.model.value,
                                                       "\" end at layer ", next.value, " of ",
                                                       layer_count.value));
    }
    return chain(variant, std::move(hops));
}

bool chain::contains(const target_id& target) const
{
    return std::ranges::any_of(this->stages, [&](const hop& stage) { return stage.target == target; });
}

} // namespace dandelionstep
