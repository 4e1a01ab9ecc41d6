#include "daemon/group.hpp"

#include "adapters/log.hpp"
#include "adapters/random.hpp"
#include "daemon/group_wire.hpp"

#include <algorithm>
#include <peer.pb.h>

namespace dandelionstep {
namespace {

constexpr milliseconds tick_interval{100};
constexpr milliseconds spread_delay{10};
constexpr milliseconds exchange_timeout{900};
constexpr milliseconds vm_list_interval{60'000};
constexpr std::size_t max_seeds = 64;
constexpr milliseconds snapshot_interval{100};
constexpr milliseconds pull_interval{200};
// Larger changes are announced only, and each daemon asks one other for them.
constexpr std::size_t max_pushed_records = 20;

} // namespace

group::group(daemon_context& context, configuration_sync& configuration)
    : context(context), configuration(configuration),
      node(context.loop, context.configured.tls,
           [this](const wire::ExchangeMessage& question) { return this->answer(question); })
{
    const settings& configured = context.configured;
    this->state.self = {.vm = configured.vm,
                        .data_centre = configured.data_centre,
                        .peer_address = configured.peers,
                        .operator_address = configured.operators,
                        .started = context.started,
                        .state = member_state::alive,
                        .newest_schema_version = newest_schema_version};
    this->state.seed = random_seed();
    this->state.seeds = configured.seeds;
}

absl::Status group::start()
{
    absl::Status status = this->node.listen(this->context.configured.peers);
    if (!status.ok()) {
        return status;
    }
    this->unmet = {this->state.seeds.begin(), this->state.seeds.end()};
    this->note_met(this->context.configured.peers);
    this->carry_out(dandelionstep::start(this->state, event_loop::now()));
    this->ticker = this->context.loop.run_every(tick_interval, [this] { this->tick(); });
    this->poll_vm_list();
    return status;
}

void group::tick()
{
    this->carry_out(on_tick(this->state, event_loop::now()));
    std::erase_if(this->revision_of,
                  [this](const auto& entry) { return !this->state.others.contains(entry.first); });
    this->configuration.set_poller(is_chosen(this->state, "poll", pollers_per_data_centre));
}

// The list lags, so it only adds addresses to try.
void group::poll_vm_list()
{
    this->context.platform.list_peers([this](const std::vector<endpoint>& listed) {
        std::vector<endpoint> seeds = this->context.configured.seeds;
        const std::size_t room = std::min(listed.size(), max_seeds);
        seeds.insert(seeds.end(), listed.begin(), listed.begin() + static_cast<std::ptrdiff_t>(room));
        this->state.seeds = std::move(seeds);
        const auto spread_over = static_cast<std::uint64_t>(vm_list_interval.count);
        const milliseconds delay =
            vm_list_interval / 2 + milliseconds{static_cast<std::int64_t>(random_seed() % spread_over)};
        this->next_vm_list = this->context.loop.run_after(delay, [this] { this->poll_vm_list(); });
    });
}

void group::spread_soon()
{
    if (this->spread_due) {
        return;
    }
    this->spread_due = true;
    this->spreading = this->context.loop.run_after(spread_delay, [this] {
        this->spread_due = false;
        this->carry_out(gossip(this->state, event_loop::now()));
    });
}

void group::leave()
{
    this->carry_out(dandelionstep::leave(this->state, event_loop::now()));
}

std::vector<schema_reader> group::schema_readers() const
{
    std::vector<schema_reader> readers{{this->context.configured.vm, newest_schema_version}};
    for (const auto& [vm, each] : this->state.others) {
        const bool gone = each.info.state == member_state::dead || each.info.state == member_state::left;
        if (!gone) {
            readers.push_back({vm, each.info.newest_schema_version});
        }
    }
    return readers;
}

std::map<vm_id, member> group::members() const
{
    std::map<vm_id, member> all;
    for (const auto& [vm, each] : this->state.others) {
        all.emplace(vm, each.info);
    }
    return all;
}

void group::carry_out(const membership_actions& actions)
{
    for (const member& each : actions.changed) {
        log_event("member", {{"member", each.vm.value},
                             {"state", to_string(each.state)},
                             {"incarnation", each.started.value},
                             {"data_centre", each.data_centre.value}});
        if (each.state == member_state::dead || each.state == member_state::left) {
            this->node.forget(each.peer_address);
        }
    }
    for (const outgoing_message& each : actions.to_send) {
        this->send(each);
    }
}

void group::send(const outgoing_message& to)
{
    wire::ExchangeMessage message = this->make_message(to.vm, false);
    member_message request{.sender = this->state.self,
                           .members = {},
                           .digest = message.members_digest(),
                           .wants_full_table = to.wants_full_table,
                           .probe = to.probe,
                           .confirmed = to.confirmed};
    fill(message, request);
    this->push_configuration(message, to.vm);
    ++this->counted.messages;
    this->counted.sent.value += static_cast<std::int64_t>(message.ByteSizeLong());
    const auto done = [this, to](const wire::ExchangeMessage* reply) {
        if (reply != nullptr) {
            this->take(*reply);
        } else {
            this->carry_out(on_send_failed(this->state, to, event_loop::now()));
        }
        this->note_met(to.to);
    };
    this->node.exchange(to.to, message, exchange_timeout, done);
}

void group::note_met(const endpoint& peer)
{
    this->unmet.erase(peer);
    if (this->unmet.empty()) {
        this->configuration.peers_were_asked();
    }
}

wire::ExchangeMessage group::make_message(const std::optional<vm_id>& receiver, bool everything)
{
    wire::ExchangeMessage message;
    fill(message, dandelionstep::make_message(this->state, receiver, everything));
    for (const shared_kind& kind : this->kinds) {
        kind.fill(message);
    }
    message.set_configuration_revision(this->context.configuration.number.value);
    return message;
}

void group::push_configuration(wire::ExchangeMessage& message, const std::optional<vm_id>& receiver) const
{
    const auto known = receiver ? this->revision_of.find(*receiver) : this->revision_of.end();
    if (known == this->revision_of.end()) {
        return;
    }
    const std::vector<accepted_change> following = this->configuration.changes_after(known->second);
    std::size_t records = 0;
    for (const accepted_change& change : following) {
        records += change.records.size();
    }
    if (records > max_pushed_records) {
        return;
    }
    for (const accepted_change& change : following) {
        fill(*message.add_changes(), change);
    }
}

void group::add_configuration(wire::ExchangeMessage& message, revision receiver_revision)
{
    const applied_configuration& applied = this->context.configuration;
    if (receiver_revision >= applied.number) {
        return;
    }
    const std::vector<accepted_change> following = this->configuration.changes_after(receiver_revision);
    for (const accepted_change& change : following) {
        fill(*message.add_changes(), change);
    }
    // Many daemons that start at once are served one after the other, so that few copies are held at a time.
    const time_point now = event_loop::now();
    if (following.empty() && now >= this->next_snapshot) {
        this->next_snapshot = now + snapshot_interval;
        const configuration_snapshot all = snapshot_of(applied);
        fill(*message.mutable_snapshot(), {all.number, all.records, all.digest});
    }
}

void group::count_received(const wire::ExchangeMessage& message)
{
    ++this->counted.messages;
    this->counted.received.value += static_cast<std::int64_t>(message.ByteSizeLong());
}

wire::ExchangeMessage group::answer(const wire::ExchangeMessage& question)
{
    this->take(question);
    wire::ExchangeMessage reply =
        this->make_message(vm_id(question.sender().vm()), question.wants_all_members());
    this->add_configuration(reply, revision{question.configuration_revision()});
    ++this->counted.messages;
    this->counted.sent.value += static_cast<std::int64_t>(reply.ByteSizeLong());
    return reply;
}

void group::take(const wire::ExchangeMessage& message)
{
    this->count_received(message);
    const auto members = read_members(message);
    if (!members) {
        return;
    }
    this->carry_out(on_message(this->state, *members, event_loop::now()));
    // Grows when a false suspicion was refuted.
    this->context.started = this->state.self.started;
    for (const shared_kind& kind : this->kinds) {
        kind.take(message);
    }
    this->revision_of[members->sender.vm] = revision{message.configuration_revision()};
    this->take_configuration(message);
    this->pull_configuration(members->sender, revision{message.configuration_revision()});
}

void group::pull_configuration(const member& from, revision offered)
{
    const time_point now = event_loop::now();
    if (now < this->next_pull || offered <= this->context.configuration.number) {
        return;
    }
    this->next_pull = now + pull_interval;
    this->send(
        {.to = from.peer_address, .vm = from.vm, .wants_full_table = false, .probe = {}, .confirmed = {}});
}

void group::take_configuration(const wire::ExchangeMessage& message)
{
    this->configuration.observe_revision(revision{message.configuration_revision()});
    for (const wire::Change& change : message.changes()) {
        this->configuration.take(read_change(change));
    }
    if (message.has_snapshot()) {
        const accepted_change all = read_change(message.snapshot());
        this->configuration.take(configuration_snapshot{all.number, all.records, all.digest});
    }
}

} // namespace dandelionstep
