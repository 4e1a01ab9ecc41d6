#include "tool/declaration_files.hpp"

#include "configuration/declarations.hpp"

#include <fstream>
#include <sstream>

namespace dandelionstep {

absl::StatusOr<std::vector<configuration_record>> read_declarations(const std::vector<std::string>& paths)
{
    std::vector<configuration_record> all;
    for (const std::string& path : paths) {
        std::ifstream file(path);
        if (!file) {
            return absl::NotFoundError(path + ": cannot be read");
        }
        std::ostringstream text;
        text << file.rdbuf();
        auto records = parse_declarations(text.str(), path);
        if (!records.ok()) {
            return records.status();
        }
        for (configuration_record& record : *records) {
            if (const absl::Status status = validate(record); !status.ok()) {
                return absl::InvalidArgumentError(path + ": " + std::string(status.message()));
            }
            all.push_back(std::move(record));
        }
    }
    return all;
}

} // namespace dandelionstep
