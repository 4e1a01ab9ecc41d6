#pragma once

#include "common/ids.hpp"
#include "target/endpoint.hpp"

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace dandelionstep {

//! The range [begin, end) of a model's layers.
struct layer_range {
    layer_index begin;
    layer_index end;

    // NOLINTNEXTLINE(modernize-use-nullptr): the check takes the 0 of the comparison for a null pointer
    friend auto operator<=>(const layer_range&, const layer_range&) = default;
};

//! The exact weights that a pipeline runs. Stages of different variants never serve the same request.
struct model_variant {
    model_id model;
    std::string version;
    std::vector<std::string> adapters;

    // NOLINTNEXTLINE(modernize-use-nullptr): the check takes the 0 of the comparison for a null pointer
    friend auto operator<=>(const model_variant&, const model_variant&) = default;
    friend bool operator==(const model_variant&, const model_variant&) = default;
};

//! The layers that an engine holds, and the speed of its accelerator.
struct engine_spec {
    model_variant variant;
    layer_range layers;
    std::string accelerator;
    //! Tokens per second that the engine decodes through its layers with a full batch.
    double tokens_per_second = 1000;
    //! Duration of one decode step in milliseconds.
    double step_ms = 5;
    //! Whether the engine refuses orders that carry an old fencing number.
    bool checks_fencing = false;
};

//! A back end: an engine replica holding a range of layers, or a replica of a plain service.
struct target {
    target_id id;
    data_centre_id data_centre;
    endpoint address;
    std::optional<engine_spec> engine{};
    std::optional<service_id> service{};
};

} // namespace dandelionstep
