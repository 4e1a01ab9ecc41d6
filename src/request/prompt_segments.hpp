#pragma once

#include "common/ids.hpp"
#include "common/strong.hpp"

#include <initializer_list>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace dandelionstep {

//! Identifies a segment of a prompt to one service; equal on every daemon.
using segment_fingerprint = strong_count<struct segment_fingerprint_unit>;

//! A segment of a prompt that other requests to the service may share.
struct prompt_segment {
    segment_id id;
    segment_fingerprint fingerprint;
};

//! The segments of one prompt, shared by all that refer to them: a prompt may have hundreds, and many
//! requests may have been on one target.
class segment_list {
public:
    segment_list() = default;
    // NOLINTNEXTLINE(google-explicit-constructor): it is the same list, shared
    segment_list(std::vector<prompt_segment> segments)
        : shared(segments.empty() ? nullptr
                                  : std::make_shared<const std::vector<prompt_segment>>(std::move(segments)))
    {}
    segment_list(std::initializer_list<prompt_segment> segments)
        : segment_list(std::vector<prompt_segment>(segments))
    {}

    // NOLINTNEXTLINE(google-explicit-constructor): the same
    operator const std::vector<prompt_segment>&() const { return this->get(); }
    [[nodiscard]] const std::vector<prompt_segment>& get() const
    {
        static const std::vector<prompt_segment> none;
        return this->shared ? *this->shared : none;
    }
    [[nodiscard]] auto begin() const { return this->get().begin(); }
    [[nodiscard]] auto end() const { return this->get().end(); }

private:
    std::shared_ptr<const std::vector<prompt_segment>> shared;
};

//! The different ones among the segments; the bound on a request's head bounds their number. A segment that
//! crashes the targets of one service may be harmless to those of another, so its fingerprint depends on the
//! service.
std::vector<prompt_segment> distinct_segments(const service_id& service,
                                              const std::vector<segment_id>& segments);

//! The segments as they stand in logs, the first ones of many.
std::string segments_text(const std::vector<prompt_segment>& segments);

} // namespace dandelionstep
