#include "request/event_splitter.hpp"

#include <charconv>

namespace dandelionstep {
namespace {

constexpr std::size_t longest_end = std::string_view("\r\n\r\n").size();

// The size of the first whole event in the text with the empty line that ends it; 0 when there is none. No
// event ends within the first `searched` bytes.
std::size_t first_event_size(std::string_view text, std::size_t searched)
{
    const std::size_t from = searched < longest_end ? 0 : searched - longest_end + 1;
    const std::size_t plain = text.find("\n\n", from);
    const std::size_t with_returns = text.find("\r\n\r\n", from);
    if (plain == std::string_view::npos && with_returns == std::string_view::npos) {
        return 0;
    }
    return plain < with_returns ? plain + 2 : with_returns + 4;
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
        at += size;
        if (id && splitter.last_id && *id <= *splitter.last_id) {
            continue;
        }
        if (id) {
            splitter.last_id = id;
        }
        whole += event;
    }
    splitter.pending.erase(0, at);
    splitter.is_overlong = splitter.pending.size() > max_event_bytes;
    return whole;
}

void forget_rest(event_splitter& splitter)
{
    splitter.pending.clear();
    splitter.searched = 0;
    splitter.is_overlong = false;
}

} // namespace dandelionstep
