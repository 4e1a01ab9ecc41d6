#include "request/stall_policy.hpp"

#include <algorithm>

namespace dandelionstep {

stall_limits stall_limits_for(milliseconds latency_objective, milliseconds gap_objective,
                              milliseconds usual_gap)
{
    constexpr milliseconds shortest_probe{70};
    stall_limits limits;
    limits.first_probe = std::max(limits.first_probe, latency_objective * 2 / 5);
    limits.probe = std::clamp(usual_gap * 3 / 2, shortest_probe, std::max(shortest_probe, gap_objective / 2));
    limits.missed_event = std::min(limits.probe, std::max(shortest_probe, usual_gap * 5 / 4));
    limits.first_event = std::max(limits.first_event, latency_objective);
    limits.gap = std::max(limits.gap, gap_objective * 5 / 4);
    return limits;
}

stall_action next_stall_action(const stream_progress& progress, const stall_limits& limits, time_point now)
{
    const milliseconds stalled_for = now - std::max(progress.sent_at, progress.last_event_at);
    const milliseconds probe = progress.has_events ? limits.probe : limits.first_probe;
    const milliseconds limit = progress.has_events ? limits.gap : limits.first_event;
    const milliseconds dead_engine_limit = progress.has_events ? limits.missed_event : limits.first_probe;
    if (progress.has_dead_engine && stalled_for > dead_engine_limit) {
        return stall_action::change_path;
    }
    if (stalled_for <= probe) {
        return stall_action::wait;
    }
    if (progress.has_events && stalled_for > limits.give_up) {
        return stall_action::resume_elsewhere;
    }
    if (stalled_for > limit && now - progress.asked_at > limits.ask_interval) {
        return stall_action::ask_engine;
    }
    return stall_action::probe_path;
}

} // namespace dandelionstep
