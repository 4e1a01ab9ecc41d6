#include "entry/engines/engine_probes.hpp"

#include "adapters/log.hpp"

#include "absl/strings/str_format.h"

#include <algorithm>

namespace dandelionstep {
namespace {

// Engines answer within a few milliseconds; a lost packet is sent again after some 200.
constexpr milliseconds probe_timeout{40};
// An engine is asked again after the first pause, then after ever longer ones, as long as its answers, or its
// silence, stay the same. Slow streams alone would ask all engines all the time.
constexpr milliseconds first_pause{120};
constexpr milliseconds longest_pause{1'500};
// An engine that was not asked for so long is asked anew without a pause.
constexpr milliseconds pause_forgotten{3'000};
constexpr milliseconds repeat_interval{100};
// So many engines of a data centre that fall silent within this time are a sign that it is cut off.
constexpr int silent_for_cut = 2;
constexpr milliseconds cut_window{1'000};
// A pace that differs by less from the one before is not told.
constexpr double told_pace_change = 1.25;

void take_report(const target_id& id, target_condition& condition, const engine_report& report,
                 time_point now)
{
    const double before = condition.reported_slowdown;
    const double memory_share = report.memory_total > 0 ? report.memory_used / report.memory_total : 0;
    note_report(condition, report.pace, memory_share, now);
    const double change = condition.reported_slowdown / before;
    if (change < told_pace_change && change > 1 / told_pace_change) {
        return;
    }
    log_event("engine_pace_changed", {{"target", id.value},
                                      {"pace", absl::StrFormat("%.2f", condition.reported_slowdown)},
                                      {"pace_before", absl::StrFormat("%.2f", before)},
                                      {"memory_share", absl::StrFormat("%.2f", memory_share)},
                                      {"running", report.running},
                                      {"waiting", report.waiting}});
}

} // namespace

void engine_probes::ask(const std::vector<hop>& path)
{
    for (const hop& part : path) {
        this->ask_one(part.id, part.address);
    }
}

void engine_probes::ask_one(const target_id& id, const endpoint& address)
{
    const time_point now = event_loop::now();
    target_condition& condition = this->context.conditions[id];
    const milliseconds since = now - condition.probed_at;
    if (since < condition.probe_interval) {
        return;
    }
    condition.probe_interval = since > pause_forgotten
                                   ? first_pause
                                   : std::clamp(condition.probe_interval * 2, first_pause, longest_pause);
    this->ask_now(id, address);
}

void engine_probes::ask_now(const target_id& id, const endpoint& address)
{
    const time_point now = event_loop::now();
    target_condition& condition = this->context.conditions[id];
    if (condition.is_being_probed) {
        return;
    }
    condition.is_being_probed = true;
    condition.probed_at = now;
    ask_report(
        this->context, id, address, probe_timeout,
        [this, id, now](const std::optional<engine_report>& report) { this->take_answer(id, now, report); });
}

void engine_probes::take_answer(const target_id& id, time_point sent_at,
                                const std::optional<engine_report>& report)
{
    const auto found = this->context.conditions.find(id);
    if (found == this->context.conditions.end()) {
        return;
    }
    target_condition& condition = found->second;
    condition.is_being_probed = false;
    const time_point now = event_loop::now();
    if (report) {
        if (condition.is_unresponsive) {
            log_event("engine_answers",
                      {{"target", id.value}, {"silent_ms", now - condition.unresponsive_since}});
            condition.probe_interval = first_pause;
        }
        note_probe_answer(condition);
        take_report(id, condition, *report, now);
        return;
    }
    // A refused connection is an answer of the network. After a timeout without a word from elsewhere it may
    // be this daemon that is cut off or was stopped for a while.
    const bool refused = now - sent_at < probe_timeout;
    const bool heard_elsewhere = this->context.heard_at >= sent_at;
    if (!refused && !heard_elsewhere) {
        return;
    }
    if (condition.is_unresponsive) {
        return;
    }
    condition.probe_interval = first_pause;
    note_unresponsive(condition, now);
    log_event("engine_silent", {{"target", id.value}, {"asked_ms", now - sent_at}});
    this->ask_data_centre_of(id);
    if (!this->repeating) {
        this->repeating = true;
        this->repeat_timer =
            this->context.loop.run_every(repeat_interval, [this] { this->ask_silent_ones(); });
    }
}

// Where one engine is silent the cause may be the link that all of its data centre share.
void engine_probes::ask_data_centre_of(const target_id& silent)
{
    const auto known = this->context.targets.find(silent);
    if (known == this->context.targets.end()) {
        return;
    }
    const data_centre_id data_centre = known->second.data_centre;
    if (this->newly_silent_in(data_centre) < silent_for_cut) {
        return;
    }
    for (const auto& [id, target] : this->context.targets) {
        if (target.data_centre == data_centre && !target.layers.empty()) {
            this->ask_one(id, target.address);
        }
    }
}

int engine_probes::newly_silent_in(const data_centre_id& data_centre) const
{
    const time_point now = event_loop::now();
    int count = 0;
    for (const auto& [id, condition] : this->context.conditions) {
        const auto target = this->context.targets.find(id);
        if (condition.is_unresponsive && now - condition.unresponsive_since < cut_window &&
            target != this->context.targets.end() && target->second.data_centre == data_centre) {
            ++count;
        }
    }
    return count;
}

void engine_probes::ask_silent_ones()
{
    bool any = false;
    for (const auto& [id, target] : this->context.targets) {
        if (condition_of(this->context.conditions, id).is_unresponsive) {
            any = true;
            this->ask_one(id, target.address);
        }
    }
    if (!any) {
        this->repeating = false;
        this->repeat_timer = {};
    }
}

} // namespace dandelionstep
