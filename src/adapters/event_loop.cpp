#include "adapters/event_loop.hpp"

#include <chrono>
#include <ctime>
#include <event2/event.h>
#include <event2/thread.h>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace dandelionstep {
namespace {

// A timer that fires so long after its time runs behind the sockets that are ready: what it is to give up may
// have come.
constexpr milliseconds late_after{50};
// A turn takes 32 sockets at first and then twice as many each time, and 16 KB of each.
constexpr int turns_behind_sockets = 4;

struct timer_state {
    event_loop::callback run;
    event* raw = nullptr;
    //! When it is to fire; none for what waits for no time.
    std::optional<time_point> due;
    std::optional<milliseconds> interval;
    //! Lets turns of the loop pass while the timer is late.
    event* later = nullptr;
    int turns_left = 0;
};

timeval to_timeval(milliseconds delay)
{
    constexpr std::int64_t ms_per_second = 1000;
    const std::int64_t ms = delay.count < 0 ? 0 : delay.count;
    return {.tv_sec = ms / ms_per_second, .tv_usec = (ms % ms_per_second) * 1000};
}

void run_callback(const timer_state& state)
{
    // A copy keeps the callback alive if it destroys its own timer.
    const event_loop::callback run = state.run;
    run();
}

void pass_turn(timer_state& state)
{
    const timeval at_once{};
    --state.turns_left;
    event_add(state.later, &at_once);
}

void on_later(evutil_socket_t /*fd*/, short /*what*/, void* argument)
{
    auto& state = *static_cast<timer_state*>(argument);
    if (state.turns_left > 0) {
        pass_turn(state);
    } else {
        run_callback(state);
    }
}

void on_event(evutil_socket_t /*fd*/, short /*what*/, void* argument)
{
    auto& state = *static_cast<timer_state*>(argument);
    const time_point now = event_loop::now();
    const bool is_late = state.due && now - *state.due >= late_after;
    if (state.interval) {
        state.due = now + *state.interval;
    }
    if (state.later != nullptr && event_pending(state.later, EV_TIMEOUT, nullptr) != 0) {
        // The firing before has not run yet.
        return;
    }
    if (!is_late) {
        run_callback(state);
        return;
    }
    if (state.later == nullptr) {
        state.later = event_new(event_get_base(state.raw), -1, EV_TIMEOUT, on_later, &state);
    }
    state.turns_left = turns_behind_sockets;
    pass_turn(state);
}

std::shared_ptr<timer_state> make_state(event_base* base, int number, short what, event_loop::callback run)
{
    std::shared_ptr<timer_state> state(new timer_state, [](timer_state* held) {
        if (held->later != nullptr) {
            event_free(held->later);
        }
        event_free(held->raw);
        delete held;
    });
    state->run = std::move(run);
    state->raw = event_new(base, number, what, on_event, state.get());
    return state;
}

event_base* make_base()
{
    evthread_use_pthreads();
    return event_base_new();
}

} // namespace

struct event_loop::posted {
    std::mutex lock;
    std::vector<callback> waiting;
    event* wake = nullptr;

    static void on_wake(evutil_socket_t /*fd*/, short /*what*/, void* argument)
    {
        auto* queue = static_cast<posted*>(argument);
        std::vector<callback> due;
        {
            const std::lock_guard guard(queue->lock);
            due.swap(queue->waiting);
        }
        for (const callback& run : due) {
            run();
        }
    }
};

event_loop::event_loop() : raw(make_base()), queue(std::make_unique<posted>())
{
    this->queue->wake = event_new(this->raw, -1, EV_PERSIST, posted::on_wake, this->queue.get());
}

event_loop::~event_loop()
{
    // What waits in the queue may hold connections, which must go before the base that they belong to.
    this->queue->waiting.clear();
    event_free(this->queue->wake);
    event_base_free(this->raw);
}

time_point event_loop::now()
{
    // Unlike the steady clock, this one counts the time for which the machine was suspended, so that
    // leases and deadlines run out during a pause.
    constexpr std::int64_t ms_per_second = 1000;
    constexpr std::int64_t ns_per_ms = 1'000'000;
    timespec since_boot{};
    clock_gettime(CLOCK_BOOTTIME, &since_boot);
    return {since_boot.tv_sec * ms_per_second + since_boot.tv_nsec / ns_per_ms};
}

wall_time event_loop::wall_now()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return {std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count()};
}

event_loop::timer event_loop::run_after(milliseconds delay, callback run)
{
    timer handle;
    auto state = make_state(this->raw, -1, EV_TIMEOUT, std::move(run));
    state->due = now() + delay;
    const timeval after = to_timeval(delay);
    event_add(state->raw, &after);
    handle.state = std::move(state);
    return handle;
}

event_loop::timer event_loop::run_at(time_point due, callback run)
{
    timer handle;
    auto state = make_state(this->raw, -1, EV_TIMEOUT, {});
    state->due = due;
    timer_state* held = state.get();
    held->run = [held, due, run = std::move(run)] {
        const milliseconds left = due - now();
        if (left > milliseconds{0}) {
            const timeval again = to_timeval(left);
            event_add(held->raw, &again);
            return;
        }
        run();
    };
    const timeval after = to_timeval(due - now());
    event_add(state->raw, &after);
    handle.state = std::move(state);
    return handle;
}

event_loop::timer event_loop::run_every(milliseconds interval, callback run)
{
    timer handle;
    auto state = make_state(this->raw, -1, EV_TIMEOUT | EV_PERSIST, std::move(run));
    state->due = now() + interval;
    state->interval = interval;
    const timeval every = to_timeval(interval);
    event_add(state->raw, &every);
    handle.state = std::move(state);
    return handle;
}

event_loop::timer event_loop::on_signal(int number, callback run)
{
    timer handle;
    auto state = make_state(this->raw, number, EV_SIGNAL | EV_PERSIST, std::move(run));
    event_add(state->raw, nullptr);
    handle.state = std::move(state);
    return handle;
}

void event_loop::post(callback run)
{
    {
        const std::lock_guard guard(this->queue->lock);
        this->queue->waiting.push_back(std::move(run));
    }
    event_active(this->queue->wake, 0, 0);
}

void event_loop::run()
{
    event_base_loop(this->raw, EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::stop()
{
    event_base_loopbreak(this->raw);
}

} // namespace dandelionstep
