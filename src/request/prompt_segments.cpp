#include "request/prompt_segments.hpp"

#include "absl/strings/str_cat.h"
#include "common/hash.hpp"

#include <string_view>
#include <unordered_set>

namespace dandelionstep {
namespace {

// Bounds the length of a log line, as callers may send any number of segments.
constexpr std::size_t max_logged_segments = 8;
constexpr std::size_t max_logged_characters = 32;

} // namespace

std::vector<prompt_segment> distinct_segments(const service_id& service,
                                              const std::vector<segment_id>& segments)
{
    std::vector<prompt_segment> distinct;
    std::unordered_set<std::string_view> seen;
    for (const segment_id& id : segments) {
        if (seen.insert(id.value).second) {
            // The length makes the text unambiguous.
            distinct.push_back({id,
                                {content_digest(absl::StrCat("segment\n", service.value.size(), "\n",
                                                             service.value, id.value))}});
        }
    }
    return distinct;
}

std::string segments_text(const std::vector<prompt_segment>& segments)
{
    std::string text;
    for (std::size_t i = 0; i < segments.size(); ++i) {
        const char* separator = i == 0 ? "" : ",";
        if (i == max_logged_segments) {
            absl::StrAppend(&text, separator, "...");
            break;
        }
        absl::StrAppend(&text, separator, segments[i].id.value.substr(0, max_logged_characters));
    }
    return text;
}

} // namespace dandelionstep
