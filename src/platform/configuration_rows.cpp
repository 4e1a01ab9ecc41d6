#include "platform/configuration_rows.hpp"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace dandelionstep {
namespace {

records_digest read_digest(const json& value)
{
    records_digest digest = 0;
    const bool read = absl::SimpleAtoi(string_or(value, "digest", "0"), &digest);
    return read ? digest : 0;
}

} // namespace

std::string record_row_key(const record_key& key)
{
    return absl::StrCat(std::string(record_rows), key.kind, "/", key.name);
}

std::string change_row_key(revision number)
{
    return absl::StrFormat("%s%012d", std::string(change_rows), number.value);
}

json to_json(const accepted_change& change, const change_id& id)
{
    json records = json::array();
    for (const configuration_record& record : change.records) {
        records.push_back(to_json(record));
    }
    return {{"revision", change.number.value},
            {"change_id", id.value},
            {"records", std::move(records)},
            {"digest", std::to_string(change.digest)}};
}

absl::StatusOr<accepted_change> parse_change(const json& value)
{
    auto number = integer_member(value, "revision");
    if (!number.ok()) {
        return number.status();
    }
    accepted_change change{.number = revision{*number}, .records = {}, .digest = read_digest(value)};
    const auto records = value.find("records");
    if (records == value.end() || !records->is_array()) {
        return absl::InvalidArgumentError("member \"records\" must be a list");
    }
    for (const json& entry : *records) {
        auto record = parse_record(entry);
        if (!record.ok()) {
            return record.status();
        }
        change.records.push_back(*std::move(record));
    }
    return change;
}

std::string change_id_row_key(const change_id& id)
{
    return absl::StrCat(std::string(change_id_rows), id.value);
}

// JSON integers are signed in this format, so the unsigned digest is written as text.
json to_json(const revision_state& state)
{
    return {{"revision", state.number.value}, {"digest", std::to_string(state.digest)}};
}

revision_state parse_revision_row(const json& value)
{
    return {revision{integer_or(value, "revision", 0)}, read_digest(value)};
}

json to_json(const change_id_state& id_state)
{
    return {{"revision", id_state.number.value}, {"content", id_state.content}};
}

change_id_state parse_change_id_row(const json& value)
{
    return {revision{integer_or(value, "revision", 0)}, string_or(value, "content", "")};
}

} // namespace dandelionstep
