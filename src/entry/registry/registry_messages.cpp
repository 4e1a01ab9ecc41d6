#include "entry/registry/registry_messages.hpp"

#include "common/json.hpp"
#include "common/packed_text.hpp"
#include "target/parse_endpoint.hpp"

namespace dandelionstep {
namespace {

json ids_json(const std::vector<target_id>& ids)
{
    json list = json::array();
    for (const target_id& id : ids) {
        list.push_back(id.value);
    }
    return list;
}

std::vector<target_id> parse_ids(const json& object, const char* name)
{
    std::vector<target_id> ids;
    for (const json& id : object.value(name, json::array())) {
        ids.emplace_back(id.is_string() ? id.get<std::string>() : "");
    }
    return ids;
}

json target_json(const registered_target& target)
{
    return {{"id", target.id.value},
            {"service", target.service.value},
            {"address", to_string(target.address)},
            {"data_centre", target.data_centre.value},
            {"slots", target.slots},
            {"leaving", target.leaving},
            {"kind", target.kind},
            {"begin", target.layers.begin},
            {"end", target.layers.end},
            {"started", target.started.value}};
}

absl::StatusOr<registered_target> parse_target(const json& object)
{
    const absl::StatusOr<std::string> id = string_member(object, "id");
    const absl::StatusOr<endpoint> address = parse_endpoint(string_or(object, "address", ""));
    if (!id.ok() || !address.ok()) {
        return absl::InvalidArgumentError("a target needs an id and an address");
    }
    registered_target target;
    target.id = target_id(*id);
    target.service = service_id(string_or(object, "service", ""));
    target.address = *address;
    target.data_centre = data_centre_id(string_or(object, "data_centre", ""));
    target.slots = integer_or(object, "slots", 0);
    target.leaving = boolean_or(object, "leaving", false);
    target.kind = string_or(object, "kind", "");
    target.layers = {integer_or(object, "begin", 0), integer_or(object, "end", 0)};
    target.started = {integer_or(object, "started", 0)};
    return target;
}

absl::StatusOr<registry_update> parse_plain_registry(const json& object)
{
    registry_update news;
    news.sequence = integer_or(object, "sequence", 0);
    news.has_all = boolean_or(object, "has_all", false);
    for (const json& item : object.value("targets", json::array())) {
        const absl::StatusOr<registered_target> target = parse_target(item);
        if (!target.ok()) {
            return target.status();
        }
        news.targets.push_back(*target);
    }
    news.gone = parse_ids(object, "gone");
    news.unconfirmed = parse_ids(object, "doubtful");
    return news;
}

} // namespace

std::string registry_text(const registry_update& news)
{
    json targets = json::array();
    for (const registered_target& target : news.targets) {
        targets.push_back(target_json(target));
    }
    return dump({{"sequence", news.sequence},
                 {"has_all", news.has_all},
                 {"targets", std::move(targets)},
                 {"gone", ids_json(news.gone)},
                 {"doubtful", ids_json(news.unconfirmed)}});
}

std::string packed_registry(const std::string& registry_text)
{
    return dump({{"registry_packed", pack_text(registry_text)}});
}

absl::StatusOr<registry_update> parse_registry(const json& answer)
{
    const std::string packed = string_or(answer, "registry_packed", "");
    if (packed.empty()) {
        return parse_plain_registry(answer);
    }
    const absl::StatusOr<std::string> text = unpack_text(packed, most_unpacked_bytes);
    if (!text.ok()) {
        return text.status();
    }
    const absl::StatusOr<json> object = parse_json(*text);
    if (!object.ok()) {
        return object.status();
    }
    if (!object->is_object()) {
        return absl::InvalidArgumentError("the packed registry is no JSON object");
    }
    return parse_plain_registry(*object);
}

} // namespace dandelionstep
