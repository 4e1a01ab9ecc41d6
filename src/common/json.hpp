#pragma once

#include "absl/status/statusor.h"
#include "common/json_types.hpp"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace dandelionstep {

//! Parses one JSON value of at most max_json_depth levels; the error says where the text breaks off.
absl::StatusOr<json> parse_json(std::string_view text);

//! Deeper JSON is refused, so that a hostile body can't exhaust the stack.
inline constexpr int max_json_depth = 64;

//! Typed access to a member; the error names the member and the type that was expected.
absl::StatusOr<std::string> string_member(const json& object, std::string_view name);
absl::StatusOr<std::int64_t> integer_member(const json& object, std::string_view name);

//! As above, with a default when the member is absent or of another type.
std::string string_or(const json& object, std::string_view name, std::string_view fallback);
std::int64_t integer_or(const json& object, std::string_view name, std::int64_t fallback);
double number_or(const json& object, std::string_view name, double fallback);
bool boolean_or(const json& object, std::string_view name, bool fallback);

//! A number that is written as text, as JSON numbers don't hold all of 64 bits everywhere; 0 when there is
//! none.
std::uint64_t number_in_text(const json& object, std::string_view name);

//! The value as compact text; bytes that are not UTF-8 are replaced.
std::string dump(const json& value);

} // namespace dandelionstep
