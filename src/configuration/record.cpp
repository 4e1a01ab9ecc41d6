#include "configuration/record.hpp"

#include "absl/strings/str_cat.h"
#include "common/toml_text.hpp"

#include <sstream>

namespace dandelionstep {
namespace {

json to_json_value(const toml::node& node)
{
    if (const toml::table* table = node.as_table()) {
        json object = json::object();
        for (const auto& [key, child] : *table) {
            object[std::string(key.str())] = to_json_value(child);
        }
        return object;
    }
    if (const toml::array* array = node.as_array()) {
        json list = json::array();
        for (const toml::node& child : *array) {
            list.push_back(to_json_value(child));
        }
        return list;
    }
    if (const auto* text = node.as_string()) {
        return text->get();
    }
    if (const auto* integer = node.as_integer()) {
        return integer->get();
    }
    if (const auto* real = node.as_floating_point()) {
        return real->get();
    }
    if (const auto* boolean = node.as_boolean()) {
        return boolean->get();
    }
    return nullptr;
}

bool is_valid_name(std::string_view name)
{
    constexpr std::size_t max_name_bytes = 128;
    return !name.empty() && name.size() <= max_name_bytes &&
           name.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-") ==
               std::string_view::npos;
}

} // namespace

absl::StatusOr<configuration_record> parse_record(const json& value)
{
    configuration_record record;
    auto kind = string_member(value, "kind");
    auto name = string_member(value, "name");
    auto schema = integer_member(value, "schema_version");
    for (const absl::Status& status : {kind.status(), name.status(), schema.status()}) {
        if (!status.ok()) {
            return status;
        }
    }
    if (!is_valid_name(*kind) || !is_valid_name(*name)) {
        return absl::InvalidArgumentError(absl::StrCat(
            "record \"", *kind, "/", *name, "\": kind and name take letters, digits and ._- only"));
    }
    record.key = {*kind, *name};
    record.schema_version = *schema;
    record.deleted = boolean_or(value, "deleted", false);
    record.changed_at = revision{integer_or(value, "changed_at", 0)};
    record.body = value;
    for (const char* member : {"kind", "name", "schema_version", "deleted", "changed_at"}) {
        record.body.erase(member);
    }
    return record;
}

json to_json(const configuration_record& record)
{
    json value = record.body;
    value["kind"] = record.key.kind;
    value["name"] = record.key.name;
    value["schema_version"] = record.schema_version;
    // A record that was never accepted has no revision. A 0 would mean that the record must not exist yet.
    if (record.changed_at.value > 0) {
        value["changed_at"] = record.changed_at.value;
    }
    if (record.deleted) {
        value["deleted"] = true;
    }
    return value;
}

absl::StatusOr<std::vector<configuration_record>> parse_declarations(const std::string& toml_text,
                                                                     const std::string& file_name)
{
    const auto document = parse_toml(toml_text, file_name);
    if (!document.ok()) {
        return document.status();
    }
    std::vector<configuration_record> records;
    for (const auto& [key, node] : *document) {
        const toml::array* tables = node.as_array();
        if (key.str() != "record" || tables == nullptr) {
            return absl::InvalidArgumentError(absl::StrCat(file_name, ":", node.source().begin.line, ": \"",
                                                           std::string(key.str()),
                                                           "\" is not known here; expected [[record]]"));
        }
        for (const toml::node& entry : *tables) {
            auto record = parse_record(to_json_value(entry));
            if (!record.ok()) {
                return absl::InvalidArgumentError(
                    absl::StrCat(file_name, ":", entry.source().begin.line, ": ", record.status().message()));
            }
            records.push_back(*std::move(record));
        }
    }
    return records;
}

} // namespace dandelionstep
