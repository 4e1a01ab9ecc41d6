#include "request/event_splitter.hpp"

#include <algorithm>
#include <charconv>

namespace dandelionstep {
namespace {

constexpr std::size_t max_terminator_size = std::string_view("\r\n\r\n").size();

// The size of the first complete event in the text, including the empty line that ends it; 0 when there is
// none. The first `searched` bytes are known to contain no end of an event.
std::size_t first_event_size(std::string_view text, std::size_t searched)
{
    const std::size_t from = searched < max_terminator_size ? 0 : searched - max_terminator_size + 1;
    const std::size_t lf_at = text.find("\n\n", from);
    const std::size_t crlf_at = text.find("\r\n\r\n", from);
    if (lf_at == std::string_view::npos && crlf_at == std::string_view::npos) {
        return 0;
    }
    return lf_at < crlf_at ? lf_at + 2 : crlf_at + 4;
}

bool is_known_field(std::string_view name)
{
    return name == "id" || name == "data" || name == "event" || name == "retry";
}

// Engines add fields of their own, with names in lower case.
bool is_field_name(std::string_view name)
{
    return !name.empty() && std::ranges::all_of(name, [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
    });
}

// The kinds of lines that a text contains; empty lines and comments count as neither.
struct line_kinds {
    bool has_known_field = false;
    bool has_other_text = false;
};

// The last line may be incomplete, so a field name without a colon is accepted there.
line_kinds classify_lines(std::string_view text)
{
    line_kinds found;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        const bool is_cut = end == std::string_view::npos;
        std::string_view line = text.substr(0, end);
        text.remove_prefix(is_cut ? text.size() : end + 1);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (line.empty() || line.front() == ':') {
            continue;
        }
        const std::size_t colon = line.find(':');
        const std::string_view name = line.substr(0, colon);
        const bool has_colon = colon != std::string_view::npos;
        found.has_known_field = found.has_known_field || is_known_field(name);
        found.has_other_text =
            found.has_other_text || !(is_known_field(name) || (is_field_name(name) && (has_colon || is_cut)));
    }
    return found;
}

bool is_comment(std::string_view event)
{
    const line_kinds lines = classify_lines(event);
    return !lines.has_known_field && !lines.has_other_text;
}

bool is_valid(const event_splitter& splitter, std::string_view event, std::optional<std::int64_t> id)
{
    if (!splitter.events_only || is_comment(event)) {
        return true;
    }
    const line_kinds lines = classify_lines(event);
    return lines.has_known_field && !lines.has_other_text && (id || !splitter.needs_ids);
}

// A comment carries nothing that its caller waits for: an attempt that brought no more can still be replaced.
bool is_leading_comment(const event_splitter& splitter, std::string_view event)
{
    return splitter.events_only && !splitter.has_events && is_comment(event);
}

// Adds a complete event, and what was held back for it, to what is passed on.
void add_event(event_splitter& splitter, std::string_view event, std::string& whole)
{
    splitter.leading_comments += event;
    if (is_leading_comment(splitter, event) && splitter.leading_comments.size() <= max_event_bytes) {
        return;
    }
    splitter.has_events = splitter.has_events || !is_leading_comment(splitter, event);
    splitter.returned_events += is_comment(event) ? 0 : 1;
    whole += splitter.leading_comments;
    splitter.leading_comments.clear();
}

} // namespace

std::optional<std::int64_t> event_id(std::string_view event)
{
    constexpr std::string_view field = "id:";
    std::size_t begin = 0;
    while (begin < event.size()) {
        std::string_view line = event.substr(begin, event.find('\n', begin) - begin);
        begin += line.size() + 1;
        if (!line.starts_with(field)) {
            continue;
        }
        line.remove_prefix(field.size());
        while (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        std::int64_t id = 0;
        const auto parsed = std::from_chars(line.data(), line.data() + line.size(), id);
        if (parsed.ec == std::errc()) {
            return id;
        }
    }
    return std::nullopt;
}

std::string take_events(event_splitter& splitter, std::string_view bytes)
{
    if (splitter.is_malformed) {
        return "";
    }
    splitter.pending += bytes;
    std::string whole;
    std::size_t at = 0;
    while (true) {
        const std::string_view rest = std::string_view(splitter.pending).substr(at);
        const std::size_t size = first_event_size(rest, splitter.searched);
        if (size == 0) {
            splitter.searched = rest.size();
            break;
        }
        splitter.searched = 0;
        const std::string_view event = rest.substr(0, size);
        const std::optional<std::int64_t> id = event_id(event);
        if (!is_valid(splitter, event, id)) {
            splitter.is_malformed = true;
            break;
        }
        at += size;
        if (id && splitter.last_id && *id <= *splitter.last_id) {
            continue;
        }
        if (id) {
            splitter.last_id = id;
        }
        add_event(splitter, event, whole);
    }
    splitter.pending.erase(0, at);
    splitter.is_overlong = splitter.pending.size() > max_event_bytes;
    return whole;
}

bool may_be_partial_event(const event_splitter& splitter)
{
    return !splitter.events_only || !classify_lines(splitter.pending).has_other_text;
}

bool is_inside_event(const event_splitter& splitter)
{
    bool is_line_start = true;
    for (const char one : splitter.pending) {
        const bool is_line_end = one == '\n' || one == '\r';
        if (is_line_start && !is_line_end && one != ':') {
            return true;
        }
        is_line_start = is_line_end;
    }
    return false;
}

void discard_partial_event(event_splitter& splitter)
{
    splitter.pending.clear();
    splitter.leading_comments.clear();
    splitter.searched = 0;
    splitter.is_overlong = false;
    splitter.is_malformed = false;
}

} // namespace dandelionstep
