#include "entry/stop_runner.hpp"

#include "adapters/log.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

// The balancer asks once a second and takes a daemon out after two misses.
constexpr milliseconds balancer_notice{2'600};
// Requests that were taken in during the notice are finished until shortly before the end of the grace
// period.
constexpr milliseconds end_margin{400};
constexpr milliseconds farewell{100};
// A caller that was not told of the end sends its next request by then, if it goes on at once.
constexpr milliseconds next_request_time{200};
// The margin holds several steps.
constexpr milliseconds step_interval{50};
constexpr int status_unavailable = 503;

} // namespace

stop_runner::stop_runner(entry_context& context_in, caller_port& callers_in)
    : context(context_in), callers(callers_in)
{}

void stop_runner::begin()
{
    this->context.stop = stop_state{event_loop::now(), false, {0}};
    const milliseconds limit = this->context.settings.grace_period - end_margin;
    this->context.stop_bounds = {std::min(balancer_notice, limit), limit, farewell};
    log_event("stopping", {{"unfinished", this->callers.unfinished()}});
    this->callers.close_after_answers();
    this->timer = this->context.loop.run_every(step_interval, [this] { this->step(); });
}

void stop_runner::step()
{
    const time_point now = event_loop::now();
    remaining_work left{this->callers.unfinished(), 0, 0};
    if (now - this->context.stop->began >= this->context.stop_bounds.balancer_notice) {
        left.requests_in_flight += this->callers.close_idle(next_request_time);
    }
    switch (advance(*this->context.stop, left, this->context.stop_bounds, false, now)) {
    case stop_step::wait:
        return;
    case stop_step::give_up:
        this->give_up();
        return;
    case stop_step::exit:
        this->on_exit();
        return;
    }
}

void stop_runner::give_up()
{
    const time_point now = event_loop::now();
    log_event("stop_gives_up", {{"unfinished", this->callers.unfinished()}});
    for (const std::shared_ptr<caller_exchange>& one : this->callers.unanswered()) {
        const request_facts facts = this->context.dialect.read_request(one->head.headers);
        log_event("given_up_by_stop", {{"id", facts.attempt_id},
                                       {"came_after_ms", one->began - this->context.stop->began},
                                       {"ms", now - one->began},
                                       {"has_begun", one->started() ? "yes" : "no"}});
        if (one->on_time_up) {
            one->on_time_up();
        }
    }
    // Another daemon takes them at once.
    this->callers.refuse_partial(status_unavailable, {{"Retry-After", "0.050"}});
}

} // namespace dandelionstep
