#include "request/prompt_segments.hpp"

#include "absl/strings/str_cat.h"

namespace dandelionstep {
namespace {

// Bounds the length of a log line, as callers may send any number of segments.
constexpr std::size_t max_logged_segments = 8;
constexpr std::size_t max_logged_characters = 32;

} // namespace

std::string segments_text(const std::vector<segment_id>& segments)
{
    std::string text;
    for (std::size_t i = 0; i < segments.size(); ++i) {
        const char* separator = i == 0 ? "" : ",";
        if (i == max_logged_segments) {
            absl::StrAppend(&text, separator, "...");
            break;
        }
        absl::StrAppend(&text, separator, segments[i].value.substr(0, max_logged_characters));
    }
    return text;
}

} // namespace dandelionstep
