#include "common/toml_text.hpp"

#include "absl/strings/str_cat.h"

namespace dandelionstep {

absl::StatusOr<toml::table> parse_toml(const std::string& text, const std::string& file_name)
{
    try {
        return toml::parse(text, file_name);
    } catch (const toml::parse_error& error) {
        return absl::InvalidArgumentError(
            absl::StrCat(file_name, ":", error.source().begin.line, ": ", std::string(error.description())));
    }
}

} // namespace dandelionstep
