#include "daemon/group_wire.hpp"
#include "target/parse_endpoint.hpp"

#include <peer.pb.h>

namespace dandelionstep {
namespace {

void fill(wire::Member& out, const member& value)
{
    out.set_vm(value.vm.value);
    out.set_data_centre(value.data_centre.value);
    out.set_peer_address(to_string(value.peer_address));
    if (value.operator_address.port != 0) {
        out.set_operator_address(to_string(value.operator_address));
    }
    out.set_incarnation(value.started.value);
    out.set_newest_schema_version(value.newest_schema_version);
    out.set_state(static_cast<wire::MemberState>(value.state));
}

std::optional<member> read_member(const wire::Member& value)
{
    const auto address = parse_endpoint(value.peer_address());
    if (!address.ok() || !wire::MemberState_IsValid(value.state())) {
        return std::nullopt;
    }
    return member{.vm = vm_id(value.vm()),
                  .data_centre = data_centre_id(value.data_centre()),
                  .peer_address = *address,
                  .operator_address = parse_endpoint(value.operator_address()).value_or(endpoint{}),
                  .started = incarnation{value.incarnation()},
                  .state = static_cast<member_state>(value.state()),
                  .newest_schema_version = value.newest_schema_version()};
}

} // namespace

void fill(wire::ExchangeMessage& out, const member_message& message)
{
    fill(*out.mutable_sender(), message.sender);
    for (const member& each : message.members) {
        fill(*out.add_members(), each);
    }
    out.set_members_digest(message.digest);
    out.set_wants_all_members(message.wants_full_table);
    if (message.probe) {
        fill(*out.mutable_probe(), *message.probe);
    }
    for (const member& each : message.confirmed) {
        fill(*out.add_confirmed(), each);
    }
}

std::optional<member_message> read_members(const wire::ExchangeMessage& message)
{
    const auto sender = read_member(message.sender());
    if (!sender) {
        return std::nullopt;
    }
    member_message read{.sender = *sender,
                        .members = {},
                        .digest = message.members_digest(),
                        .wants_full_table = message.wants_all_members(),
                        .probe = message.has_probe() ? read_member(message.probe()) : std::nullopt,
                        .confirmed = {}};
    for (const wire::Member& each : message.members()) {
        if (const auto parsed = read_member(each)) {
            read.members.push_back(*parsed);
        }
    }
    for (const wire::Member& each : message.confirmed()) {
        if (const auto parsed = read_member(each)) {
            read.confirmed.push_back(*parsed);
        }
    }
    return read;
}

void fill(wire::Change& out, const accepted_change& change)
{
    out.set_revision(change.number.value);
    out.set_digest(change.digest);
    for (const configuration_record& record : change.records) {
        out.add_records()->set_json(dump(to_json(record)));
    }
}

accepted_change read_change(const wire::Change& change)
{
    accepted_change parsed{.number = revision{change.revision()}, .records = {}, .digest = change.digest()};
    for (const wire::Record& record : change.records()) {
        const auto value = parse_json(record.json());
        if (!value.ok()) {
            continue;
        }
        if (auto read = parse_record(*value); read.ok()) {
            parsed.records.push_back(*std::move(read));
        }
    }
    return parsed;
}

} // namespace dandelionstep
