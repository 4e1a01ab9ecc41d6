#pragma once

#include "common/clock.hpp"
#include "common/ids.hpp"
#include "target/endpoint.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace dandelionstep {

//! Layers [begin, end) of a model; empty when end <= begin.
struct held_layers {
    std::int64_t begin = 0;
    std::int64_t end = 0;

    [[nodiscard]] std::int64_t size() const { return this->end - this->begin; }
    [[nodiscard]] bool empty() const { return this->end <= this->begin; }
    [[nodiscard]] bool contains(const held_layers& other) const
    {
        return this->begin <= other.begin && other.end <= this->end;
    }
    //! Whether this is a valid range of layers of a model that has `layers` layers.
    [[nodiscard]] bool within(std::int64_t layers) const
    {
        return this->begin >= 0 && this->begin <= this->end && this->end <= layers;
    }
    friend bool operator==(const held_layers&, const held_layers&) = default;
};

//! A target as it registered itself.
struct registered_target {
    target_id id;
    service_id service;
    endpoint address;
    data_centre_id data_centre;
    //! Requests that the target processes at the same time.
    std::int64_t slots = 0;
    bool leaving = false;
    //! How much longer the target stays slow after its start.
    milliseconds cold_for{0};
    //! Kind of accelerator; empty for targets of plain services.
    std::string kind;
    held_layers layers;
    //! Number of times that the target renewed its registration since its start.
    std::int64_t heartbeat_sequence = 0;
    //! When the process started, by its own wall clock; a new value under the same id is a new process.
    incarnation started;
};

//! All registered targets by id.
using target_registry = std::map<target_id, registered_target>;

} // namespace dandelionstep
