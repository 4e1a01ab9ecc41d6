#pragma once

#include "common/clock.hpp"

#include <functional>
#include <memory>

struct event_base;

namespace dandelionstep {

//! The process's only loop: everything but the gRPC library's own threads runs on it.
class event_loop {
public:
    using callback = std::function<void()>;

    //! Cancels its timer when destroyed; must not outlive the loop.
    class timer {
    public:
        timer() = default;

    private:
        friend class event_loop;
        std::shared_ptr<void> state;
    };

    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    event_loop(event_loop&&) = delete;
    event_loop& operator=(event_loop&&) = delete;

    [[nodiscard]] event_base* base() const { return this->raw; }

    //! The time on this process's monotonic clock.
    [[nodiscard]] static time_point now();
    //! The civil time, for records that other machines read.
    [[nodiscard]] static wall_time wall_now();

    //! Runs the callback once after the delay, or some milliseconds before its end. Callbacks that are late,
    //! as after a standstill, run behind the sockets that are ready.
    [[nodiscard]] timer run_after(milliseconds delay, callback run);
    //! Runs the callback once when `now` has reached the time, never before.
    [[nodiscard]] timer run_at(time_point due, callback run);
    //! Runs the callback again and again at the interval.
    [[nodiscard]] timer run_every(milliseconds interval, callback run);
    //! Runs the callback on the loop soon; may be called from any thread.
    void post(callback run);
    //! Calls back on the loop when the process receives the signal.
    [[nodiscard]] timer on_signal(int number, callback run);

    //! Runs until stop() is called.
    void run();
    void stop();

private:
    struct posted;

    event_base* raw;
    std::unique_ptr<posted> queue;
};

} // namespace dandelionstep
