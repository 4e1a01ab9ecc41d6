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
// Streams earn probes of engines that other streams have shown to be alive. While silences are rare, every
// silent path is thus asked at once, also about an engine that died right after an event; under overload
// streams are silent all the time, and such probes stay below a quarter of the requests.
constexpr double spare_probes_per_stream = 0.25;
constexpr double most_spare_probes = 16;
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

void engine_probes::add_witness(std::weak_ptr<const event_witness> stream)
{
    std::erase_if(this->witnesses, [](const auto& one) { return one.expired(); });
    this->witnesses.push_back(std::move(stream));
    this->spare_probes = std::min(this->spare_probes + spare_probes_per_stream, most_spare_probes);
}

void engine_probes::ask(const std::vector<hop>& path, time_point telling_since)
{
    constexpr const char* reason = "silent_stream";
    for (const hop& part : path) {
        if (this->is_due(part.id) && !this->is_vouched_for(part.id, telling_since, reason)) {
            this->ask_due(part.id, part.address, reason);
        }
    }
}

void engine_probes::ask_one(const target_id& id, const endpoint& address, const char* reason)
{
    if (this->is_due(id)) {
        this->ask_due(id, address, reason);
    }
}

void engine_probes::ask_now(const target_id& id, const endpoint& address, const char* reason)
{
    if (!condition_of(this->context.conditions, id).is_being_probed) {
        this->send(id, address, reason);
    }
}

bool engine_probes::is_due(const target_id& id) const
{
    const target_condition& condition = condition_of(this->context.conditions, id);
    return event_loop::now() - condition.probed_at >= condition.probe_interval;
}

bool engine_probes::is_vouched_for(const target_id& id, time_point after, const char* reason)
{
    if (!this->context.controls_load()) {
        return false;
    }
    target_condition& condition = this->context.conditions[id];
    if (condition.is_unresponsive || this->last_event_through(id, condition, after) <= after ||
        this->take_spare_probe()) {
        return false;
    }
    this->count_saved(condition, reason);
    return true;
}

bool engine_probes::are_heard(const std::vector<hop>& path, time_point after)
{
    if (!this->context.controls_load()) {
        return false;
    }
    const bool all = std::ranges::all_of(path, [&](const hop& part) {
        return this->last_event_through(part.id, this->context.conditions[part.id], after) > after;
    });
    if (all) {
        this->count_saved(this->context.conditions[path.front().id], "stalled_stream");
    }
    return all;
}

// Without events, an engine would be asked this often at least while streams on it are silent.
void engine_probes::count_saved(target_condition& condition, const char* reason)
{
    const time_point now = event_loop::now();
    if (now - condition.probe_saved_at >= longest_pause) {
        condition.probe_saved_at = now;
        ++this->context.metrics.probes_saved[reason];
    }
}

// Looks at the streams only if no event after that time is known yet: a silence is judged every few
// milliseconds, and an event itself is to cost nothing here.
time_point engine_probes::last_event_through(const target_id& id, target_condition& condition,
                                             time_point after)
{
    if (condition.event_seen_at <= after) {
        for (const auto& one : this->witnesses) {
            if (const auto stream = one.lock()) {
                condition.event_seen_at = std::max(condition.event_seen_at, stream->last_event_through(id));
            }
        }
    }
    return condition.event_seen_at;
}

bool engine_probes::take_spare_probe()
{
    if (this->spare_probes < 1) {
        return false;
    }
    this->spare_probes -= 1;
    return true;
}

void engine_probes::ask_due(const target_id& id, const endpoint& address, const char* reason)
{
    target_condition& condition = this->context.conditions[id];
    const milliseconds since = event_loop::now() - condition.probed_at;
    condition.probe_interval = since > pause_forgotten
                                   ? first_pause
                                   : std::clamp(condition.probe_interval * 2, first_pause, longest_pause);
    this->ask_now(id, address, reason);
}

void engine_probes::send(const target_id& id, const endpoint& address, const char* reason)
{
    const time_point now = event_loop::now();
    target_condition& condition = this->context.conditions[id];
    condition.is_being_probed = true;
    condition.probed_at = now;
    ++this->context.metrics.probes[reason];
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
    this->ask_data_centre_of(id, sent_at);
    if (!this->repeating) {
        this->repeating = true;
        this->repeat_timer =
            this->context.loop.run_every(repeat_interval, [this] { this->ask_silent_ones(); });
    }
}

// Where one engine is silent the cause may be the link that all of its data centre share; not for those
// through which events have come since the silent one was asked.
void engine_probes::ask_data_centre_of(const target_id& silent, time_point asked_at)
{
    const auto known = this->context.targets.find(silent);
    if (known == this->context.targets.end()) {
        return;
    }
    const data_centre_id data_centre = known->second.data_centre;
    if (this->newly_silent_in(data_centre) < silent_for_cut) {
        return;
    }
    constexpr const char* reason = "data_centre";
    for (const auto& [id, target] : this->context.targets) {
        if (target.data_centre == data_centre && !target.layers.empty() && this->is_due(id) &&
            !this->is_vouched_for(id, asked_at, reason)) {
            this->ask_due(id, target.address, reason);
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
            this->ask_one(id, target.address, "silent_engine");
        }
    }
    if (!any) {
        this->repeating = false;
        this->repeat_timer = {};
    }
}

} // namespace dandelionstep
