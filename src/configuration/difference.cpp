#include "configuration/difference.hpp"

#include "absl/strings/str_cat.h"

#include <set>

namespace dandelionstep {
namespace {

std::string member_text(const json& body, const std::string& member)
{
    const auto found = body.find(member);
    return found == body.end() ? "" : dump(*found);
}

std::vector<member_difference> compare_members(const configuration_record& before,
                                               const configuration_record& after)
{
    std::set<std::string> names;
    for (const json* body : {&before.body, &after.body}) {
        for (const auto& [name, value] : body->items()) {
            names.insert(name);
        }
    }
    // A writer with an older schema doesn't know the members of a newer one, so a member that it leaves out
    // is not removed.
    const bool may_remove = after.schema_version >= before.schema_version;
    std::vector<member_difference> different;
    for (const std::string& name : names) {
        member_difference each{name, member_text(before.body, name), member_text(after.body, name)};
        const bool removed = each.after.empty();
        if (each.before != each.after && (may_remove || !removed)) {
            different.push_back(std::move(each));
        }
    }
    return different;
}

record_difference compare(const configuration_record* before, const configuration_record& after)
{
    const bool exists = before != nullptr && !before->deleted;
    if (!exists) {
        const difference_kind kind = after.deleted ? difference_kind::same : difference_kind::added;
        return {after.key, kind, compare_members({}, after)};
    }
    if (after.deleted) {
        return {after.key, difference_kind::removed, {}};
    }
    std::vector<member_difference> members = compare_members(*before, after);
    const bool same = members.empty() && before->schema_version == after.schema_version;
    return {after.key, same ? difference_kind::same : difference_kind::changed, std::move(members)};
}

std::string_view mark_of(difference_kind kind)
{
    switch (kind) {
    case difference_kind::added:
        return "+";
    case difference_kind::changed:
        return "~";
    case difference_kind::removed:
        return "-";
    case difference_kind::same:
        return " ";
    }
    return " ";
}

} // namespace

std::vector<record_difference> differences(const std::map<record_key, configuration_record>& in_force,
                                           const std::vector<configuration_record>& proposed)
{
    std::vector<record_difference> all;
    for (const configuration_record& record : proposed) {
        const auto found = in_force.find(record.key);
        all.push_back(compare(found == in_force.end() ? nullptr : &found->second, record));
    }
    return all;
}

std::string to_text(const std::vector<record_difference>& differences)
{
    std::string text;
    for (const record_difference& each : differences) {
        if (each.kind == difference_kind::same) {
            continue;
        }
        absl::StrAppend(&text, std::string(mark_of(each.kind)), " ", each.key.kind, "/", each.key.name, "\n");
        for (const member_difference& member : each.members) {
            absl::StrAppend(&text, "    ", member.member, ": ",
                            member.before.empty() ? "(none)" : member.before, " -> ",
                            member.after.empty() ? "(none)" : member.after, "\n");
        }
    }
    return text;
}

json to_json(const std::vector<record_difference>& differences)
{
    json list = json::array();
    for (const record_difference& each : differences) {
        json members = json::array();
        for (const member_difference& member : each.members) {
            members.push_back(
                {{"member", member.member}, {"before", member.before}, {"after", member.after}});
        }
        list.push_back({{"kind", each.key.kind},
                        {"name", each.key.name},
                        {"difference", std::string(mark_of(each.kind))},
                        {"members", members}});
    }
    return list;
}

} // namespace dandelionstep
