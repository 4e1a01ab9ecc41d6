#include "request/stall_policy.hpp"

#include <algorithm>

namespace dandelionstep {

stall_step next_stall_step(const stream_progress& progress, const stall_limits& limits, time_point now)
{
    const milliseconds silent = now - std::max(progress.sent_at, progress.last_event_at);
    const milliseconds limit = progress.has_events ? limits.gap : limits.first_event;
    if (progress.has_dead_engine && silent > limits.gap / 2) {
        return stall_step::change_path;
    }
    if (silent <= limit) {
        return stall_step::wait;
    }
    if (progress.has_events && silent > limits.give_up) {
        return stall_step::resume_elsewhere;
    }
    if (now - progress.asked_at > limits.ask_again) {
        return stall_step::ask_engine;
    }
    return stall_step::wait;
}

} // namespace dandelionstep
