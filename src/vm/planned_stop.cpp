#include "vm/planned_stop.hpp"

namespace dandelionstep {
namespace {

bool is_idle(const remaining_work& left)
{
    return left.requests_in_flight == 0 && left.unwritten_orders == 0 && left.unsent_answers == 0;
}

} // namespace

bool ends_in_time(const stop_state& state, const stop_limits& limits, milliseconds max_duration,
                  time_point now)
{
    return !state.gave_up && now - state.began + max_duration < limits.drain_limit;
}

stop_step advance(stop_state& state, const remaining_work& left, const stop_limits& limits, bool stop_now,
                  time_point now)
{
    const milliseconds waited = now - state.began;
    if (state.gave_up) {
        return now - state.gave_up_at >= limits.flush_time ? stop_step::exit : stop_step::wait;
    }
    // An idle daemon waits for the end of the notice, so that requests that the load balancer still sends are
    // refused instead of meeting a closed port. Peers that were not told go on sending to it.
    const bool is_announced =
        waited >= limits.balancer_notice && (left.unheard_notices == 0 || waited >= limits.peer_notice);
    if (is_idle(left) && (stop_now || is_announced)) {
        return stop_step::exit;
    }
    if (stop_now || waited >= limits.drain_limit) {
        state.gave_up = true;
        state.gave_up_at = now;
        return stop_step::give_up;
    }
    return stop_step::wait;
}

} // namespace dandelionstep
