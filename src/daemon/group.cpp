#include "daemon/group.hpp"

#include <peer.pb.h>

namespace dandelionstep {
namespace {

constexpr milliseconds round_interval{500};
constexpr milliseconds soon{10};
constexpr milliseconds exchange_timeout{1000};

wire::Member to_wire(const member& value)
{
    wire::Member out;
    out.set_vm(value.vm.value);
    out.set_data_centre(value.data_centre.value);
    out.set_peer_address(to_string(value.peer_address));
    out.set_operator_address(to_string(value.operator_address));
    out.set_incarnation(value.started.value);
    out.set_state(static_cast<wire::MemberState>(value.state));
    return out;
}

absl::StatusOr<member> from_wire(const wire::Member& value)
{
    auto address = parse_endpoint(value.peer_address());
    if (!address.ok()) {
        return address.status();
    }
    member parsed{.vm = vm_id(value.vm()),
                  .data_centre = data_centre_id(value.data_centre()),
                  .peer_address = *std::move(address),
                  .started = incarnation{value.incarnation()}};
    parsed.operator_address = parse_endpoint(value.operator_address()).value_or(endpoint{});
    parsed.state = static_cast<member_state>(value.state());
    return parsed;
}

void fill_change(wire::Change& out, const accepted_change& change)
{
    out.set_revision(change.number.value);
    for (const configuration_record& record : change.records) {
        out.add_records()->set_json(dump(to_json(record)));
    }
}

accepted_change read_change(const wire::Change& change)
{
    accepted_change parsed{.number = revision{change.revision()}, .records = {}};
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

} // namespace

group::group(daemon_context& context, configuration_sync& configuration)
    : context(context), configuration(configuration),
      node(context.loop, context.configured.tls,
           [this](const wire::ExchangeMessage& question) { return this->answer(question); })
{}

absl::Status group::start()
{
    absl::Status status = this->node.listen(this->context.configured.peers);
    if (status.ok()) {
        this->exchange_round();
    }
    return status;
}

void group::spread_soon()
{
    this->next_round = this->context.loop.run_after(soon, [this] { this->exchange_round(); });
}

wire::ExchangeMessage group::make_message(revision receiver_revision) const
{
    const settings& configured = this->context.configured;
    wire::ExchangeMessage message;
    *message.mutable_sender() =
        to_wire({configured.vm, configured.data_centre, configured.peers, configured.operators,
                 this->context.started, this->context.stopping ? member_state::left : member_state::alive});
    for (const auto& [vm, each] : this->known) {
        *message.add_members() = to_wire(each);
    }
    for (const shared_kind& kind : this->kinds) {
        kind.fill(message);
    }
    const applied_configuration& applied = this->context.configuration;
    message.set_configuration_revision(applied.number.value);
    if (receiver_revision >= applied.number) {
        return message;
    }
    const std::vector<accepted_change> following = this->configuration.changes_after(receiver_revision);
    for (const accepted_change& change : following) {
        fill_change(*message.add_changes(), change);
    }
    if (following.empty()) {
        const configuration_snapshot all = snapshot_of(applied);
        fill_change(*message.mutable_snapshot(), {all.number, all.records});
    }
    return message;
}

wire::ExchangeMessage group::answer(const wire::ExchangeMessage& question)
{
    this->take(question);
    return this->make_message(revision{question.configuration_revision()});
}

void group::take(const wire::ExchangeMessage& message)
{
    const auto learn = [this](const wire::Member& value) {
        const auto parsed = from_wire(value);
        if (!parsed.ok() || parsed->vm == this->context.configured.vm) {
            return;
        }
        const auto found = this->known.find(parsed->vm);
        if (found == this->known.end() || parsed->started > found->second.started ||
            (parsed->started == found->second.started && parsed->state > found->second.state)) {
            this->known[parsed->vm] = *parsed;
        }
    };
    learn(message.sender());
    for (const wire::Member& each : message.members()) {
        learn(each);
    }
    for (const shared_kind& kind : this->kinds) {
        kind.take(message);
    }
    this->revision_of[vm_id(message.sender().vm())] = revision{message.configuration_revision()};
    for (const wire::Change& change : message.changes()) {
        this->configuration.take(read_change(change));
    }
    if (message.has_snapshot()) {
        const accepted_change all = read_change(message.snapshot());
        this->configuration.take(configuration_snapshot{all.number, all.records});
    }
}

void group::exchange_round()
{
    std::map<endpoint, revision> receivers;
    for (const endpoint& seed : this->context.configured.seeds) {
        receivers.emplace(seed, this->context.configuration.number);
    }
    for (const auto& [vm, each] : this->known) {
        receivers[each.peer_address] = this->revision_of[vm];
    }
    receivers.erase(this->context.configured.peers);
    for (const auto& [address, known_revision] : receivers) {
        this->node.exchange(address, this->make_message(known_revision), exchange_timeout,
                            [this](const wire::ExchangeMessage* reply) {
                                if (reply != nullptr) {
                                    this->take(*reply);
                                }
                            });
    }
    this->next_round = this->context.loop.run_after(round_interval, [this] { this->exchange_round(); });
}

} // namespace dandelionstep
