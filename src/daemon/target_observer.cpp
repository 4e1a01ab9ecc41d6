#include "daemon/target_observer.hpp"

#include "daemon/leaving_watch.hpp"
#include "data_centre/rendezvous.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

constexpr milliseconds observe_interval{1000};
constexpr milliseconds observe_timeout{800};
constexpr milliseconds read_vms_interval{1000};
constexpr milliseconds read_vms_backstop{10'000};
constexpr milliseconds read_vms_timeout{800};
constexpr std::size_t vms_readers = 3;

const listed_vm* find_listed(const vm_list& list, const target& wanted)
{
    const std::string address = to_string(wanted.address);
    const auto found = std::ranges::find_if(list.vms, [&](const listed_vm& vm) {
        return vm.name == wanted.id.value || (!vm.address.empty() && vm.address == address);
    });
    return found == list.vms.end() ? nullptr : &*found;
}

} // namespace

target_observer::target_observer(daemon_context& context, const group& peers) : context(context), peers(peers)
{
    this->ticker = context.loop.run_every(observe_interval, [this] { this->observe_all(); });
    this->read_vms();
}

void target_observer::observe_all()
{
    for (const auto& [id, each] : this->context.configuration.declared.targets) {
        if (each.data_centre != this->context.configured.data_centre) {
            continue;
        }
        this->context.engines.read_load(
            each.address, observe_timeout,
            [this, target = id](const load_answer& answer) { this->note(target, answer.report); });
    }
}

void target_observer::note(const target_id& target, const std::optional<load_report>& report)
{
    target_health& health = this->context.health[target];
    const time_point now = event_loop::now();
    if (!report) {
        record_failure(health, now);
        return;
    }
    if (!observe_incarnation(health, this->context.leaving, target, report->started, now)) {
        return;
    }
    health.reported_load = report->running + report->queued;
    health.in_flight_at_report = health.in_flight;
    if (report->leaving) {
        note_leaving(this->context, target, report->started, leaving_source::own_report);
    }
}

void target_observer::read_vms()
{
    read_vm_list(this->context.http, this->context.configured.platform, read_vms_timeout,
                 [this](const std::optional<vm_list>& list) {
                     if (list) {
                         this->note(*list);
                     }
                     const milliseconds pause =
                         this->reads_vms_often() ? read_vms_interval : read_vms_backstop;
                     this->vms_ticker = this->context.loop.run_after(pause, [this] { this->read_vms(); });
                 });
}

void target_observer::note(const vm_list& list)
{
    const time_point listed_at = event_loop::now() - list.age;
    for (const auto& [id, each] : this->context.configuration.declared.targets) {
        const listed_vm* vm = find_listed(list, each);
        if (vm == nullptr) {
            continue;
        }
        target_health& health = this->context.health[id];
        const listed_verdict verdict =
            assess_listing({id, vm->leaving, vm->started},
                           {health.started, health.first_seen, health.replaced_older}, listed_at);
        health.listed_leaving = verdict == listed_verdict::avoid;
        if (verdict == listed_verdict::leaving) {
            note_leaving(this->context, id, vm->started.value_or(health.started), leaving_source::vm_list);
        }
    }
}

bool target_observer::reads_vms_often() const
{
    std::vector<vm_id> candidates{this->context.configured.vm};
    for (const auto& [vm, each] : this->peers.members()) {
        if (each.data_centre == this->context.configured.data_centre && each.state == member_state::alive) {
            candidates.push_back(vm);
        }
    }
    const std::vector<vm_id> readers = choose_by_rendezvous(candidates, "vm_list", vms_readers);
    return std::ranges::find(readers, this->context.configured.vm) != readers.end();
}

} // namespace dandelionstep
