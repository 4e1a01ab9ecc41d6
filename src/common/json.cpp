#include "common/json.hpp"

#include "absl/strings/str_cat.h"

#include <cstdlib>

namespace dandelionstep {
namespace {

// Counts brackets outside strings; cheaper and safer than letting the parser recurse first.
bool nests_too_deep(std::string_view text)
{
    int depth = 0;
    bool in_string = false;
    bool escaped = false;
    for (const char c : text) {
        if (in_string) {
            in_string = escaped || c != '"';
            escaped = !escaped && c == '\\';
            continue;
        }
        if (c == '"') {
            in_string = true;
            escaped = false;
        } else if (c == '{' || c == '[') {
            if (++depth > max_json_depth) {
                return true;
            }
        } else if (c == '}' || c == ']') {
            --depth;
        }
    }
    return false;
}

absl::Status wrong_type(std::string_view name, std::string_view expected)
{
    return absl::InvalidArgumentError(
        absl::StrCat("member \"", std::string(name), "\" must be ", std::string(expected)));
}

const json* find_member(const json& object, std::string_view name)
{
    if (!object.is_object()) {
        return nullptr;
    }
    const auto found = object.find(name);
    return found == object.end() ? nullptr : &*found;
}

// Numbers above what 64 bits with a sign hold would come out negative.
bool is_int64(const json& member)
{
    return member.is_number_integer() &&
           !(member.is_number_unsigned() && member.get<std::uint64_t>() > std::uint64_t{INT64_MAX});
}

} // namespace

absl::StatusOr<json> parse_json(std::string_view text)
{
    if (nests_too_deep(text)) {
        return absl::InvalidArgumentError(absl::StrCat("JSON nests deeper than ", max_json_depth, " levels"));
    }
    try {
        return json::parse(text);
    } catch (const json::parse_error& error) {
        return absl::InvalidArgumentError(absl::StrCat("not valid JSON at byte ", error.byte));
    } catch (const json::out_of_range&) {
        return absl::InvalidArgumentError("a number in the JSON is out of range");
    }
}

absl::StatusOr<std::string> string_member(const json& object, std::string_view name)
{
    const json* member = find_member(object, name);
    if (member == nullptr || !member->is_string()) {
        return wrong_type(name, "a string");
    }
    return member->get<std::string>();
}

absl::StatusOr<std::int64_t> integer_member(const json& object, std::string_view name)
{
    const json* member = find_member(object, name);
    if (member == nullptr || !is_int64(*member)) {
        return wrong_type(name, "a whole number");
    }
    return member->get<std::int64_t>();
}

std::string string_or(const json& object, std::string_view name, std::string_view fallback)
{
    const json* member = find_member(object, name);
    return member != nullptr && member->is_string() ? member->get<std::string>() : std::string(fallback);
}

std::int64_t integer_or(const json& object, std::string_view name, std::int64_t fallback)
{
    const json* member = find_member(object, name);
    return member != nullptr && is_int64(*member) ? member->get<std::int64_t>() : fallback;
}

double number_or(const json& object, std::string_view name, double fallback)
{
    const json* member = find_member(object, name);
    return member != nullptr && member->is_number() ? member->get<double>() : fallback;
}

bool boolean_or(const json& object, std::string_view name, bool fallback)
{
    const json* member = find_member(object, name);
    return member != nullptr && member->is_boolean() ? member->get<bool>() : fallback;
}

std::uint64_t number_in_text(const json& object, std::string_view name)
{
    constexpr int decimal = 10;
    return std::strtoull(string_or(object, name, "0").c_str(), nullptr, decimal);
}

std::string dump(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace dandelionstep
