#include "report/log_line.hpp"

#include <algorithm>
#include <charconv>

namespace dandelionstep {
namespace {

constexpr std::string_view first_key = "ts_ms=";

// Reads a value up to the next space, or up to the closing quote; moves `text` behind it.
std::string take_value(std::string_view& text)
{
    std::string value;
    if (!text.starts_with('"')) {
        const std::size_t end = std::min(text.find(' '), text.size());
        value = text.substr(0, end);
        text.remove_prefix(end);
        return value;
    }
    text.remove_prefix(1);
    while (!text.empty() && text.front() != '"') {
        if (text.front() == '\\' && text.size() > 1) {
            text.remove_prefix(1);
        }
        value += text.front();
        text.remove_prefix(1);
    }
    text.remove_prefix(std::min<std::size_t>(1, text.size()));
    return value;
}

} // namespace

std::string log_line::field(std::string_view name) const
{
    const auto found =
        std::ranges::find(this->fields, name, [](const auto& one) -> std::string_view { return one.first; });
    return found == this->fields.end() ? "" : found->second;
}

std::optional<log_line> parse_log_line(std::string_view text)
{
    const std::size_t begin = text.find(first_key);
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    text.remove_prefix(begin);
    while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) {
        text.remove_suffix(1);
    }
    log_line line;
    bool has_time = false;
    while (!text.empty()) {
        const std::size_t equals = text.find('=');
        if (equals == std::string_view::npos) {
            break;
        }
        const std::string key(text.substr(0, equals));
        text.remove_prefix(equals + 1);
        const std::string value = take_value(text);
        text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
        if (key == "ts_ms") {
            has_time =
                std::from_chars(value.data(), value.data() + value.size(), line.at.count).ec == std::errc();
        } else if (key == "vm") {
            line.vm = value;
        } else if (key == "event") {
            line.event = value;
        } else {
            line.fields.emplace_back(key, value);
        }
    }
    if (!has_time || line.event.empty()) {
        return std::nullopt;
    }
    return line;
}

} // namespace dandelionstep
