#pragma once

#include "adapters/event_loop.hpp"

#include <cstdint>
#include <deque>
#include <functional>

namespace dandelionstep::standins {

//! Continuous batching: each batch takes a fixed time and advances up to `max_batch` sequences.
class engine_batch {
public:
    engine_batch(event_loop& loop, milliseconds step, std::int64_t max_batch)
        : loop(loop), step(step), max_batch(max_batch)
    {}

    //! Runs `done` after the work went through as many batches as it needs.
    void submit(std::int64_t batches, std::function<void()> done);
    void set_slow_factor(std::int64_t factor) { this->slow_factor = factor < 1 ? 1 : factor; }
    [[nodiscard]] std::int64_t running() const { return static_cast<std::int64_t>(this->waiting.size()); }

private:
    struct job {
        std::int64_t batches_left;
        std::function<void()> done;
    };

    void run_batch();
    void schedule();

    event_loop& loop;
    milliseconds step;
    std::int64_t max_batch;
    std::int64_t slow_factor = 1;
    std::deque<job> waiting;
    event_loop::timer next;
    //! When the running batch ends, or the last one ended.
    time_point due{INT64_MIN / 2};
    bool scheduled = false;
};

} // namespace dandelionstep::standins
