#include "daemon/target_observer.hpp"

#include "adapters/log.hpp"

namespace dandelionstep {
namespace {

constexpr milliseconds observe_interval{1000};
constexpr milliseconds observe_timeout{800};

} // namespace

target_observer::target_observer(daemon_context& context) : context(context)
{
    this->ticker = context.loop.run_every(observe_interval, [this] { this->observe_all(); });
}

void target_observer::observe_all()
{
    for (const auto& [id, each] : this->context.configuration.declared.targets) {
        if (each.data_centre != this->context.configured.data_centre) {
            continue;
        }
        this->context.engines.read_load(
            each.address, observe_timeout,
            [this, target = id](const std::optional<load_report>& report) { this->note(target, report); });
    }
}

void target_observer::note(const target_id& target, const std::optional<load_report>& report)
{
    target_health& health = this->context.health[target];
    if (!report) {
        record_failure(health, event_loop::now());
        return;
    }
    if (report->started > health.started) {
        health.started = report->started;
        health.leaving = false;
        record_success(health);
    }
    health.reported_load = report->running + report->queued;
    health.in_flight_at_report = health.in_flight;
    if (report->leaving && !health.leaving) {
        health.leaving = true;
        log_event("target_leaving", {{"target", target.value}, {"source", "target"}});
    }
}

} // namespace dandelionstep
