#pragma once

#include "engine_step.hpp"
#include "request/generation.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace dandelionstep::testing {

//! Runs callbacks in the order of their virtual times.
class virtual_loop {
public:
    void at(time_point when, std::function<void()> run);
    void after(milliseconds delay, std::function<void()> run)
    {
        this->at(this->current + delay, std::move(run));
    }
    void run_until(time_point end);
    [[nodiscard]] time_point now() const { return this->current; }

private:
    struct entry {
        time_point when;
        std::int64_t order;
        std::function<void()> run;
        friend bool operator<(const entry& a, const entry& b)
        {
            return std::pair(b.when, b.order) < std::pair(a.when, a.order);
        }
    };

    time_point current{0};
    std::int64_t scheduled = 0;
    std::priority_queue<entry> waiting;
};

//! One run of a hop's layers for the token of a step.
struct executed_step {
    std::string request;
    std::int64_t attempt = 0;
    std::int64_t index = 0;
    layer_range layers;
};

//! How often, in a thousand, the pool mistreats what it sends.
struct pool_faults {
    int doubled_lines = 0;
    int lost_lines = 0;
    int broken_streams = 0;
    int late_lines = 0;
};

//! Engines in memory that speak the engines' contract in virtual time and can be killed, restarted and
//! frozen.
class engine_pool {
public:
    using event_callback = std::function<void(const generation_event&)>;

    engine_pool(virtual_loop& loop, std::uint64_t seed) : loop(loop), random(seed) {}

    void add(const target& engine);
    void kill(const target_id& engine);
    //! Starts it again with empty caches.
    void restart(const target_id& engine);
    void freeze(const target_id& engine, milliseconds duration);
    void open(const generation_request& request, const open_attempt& attempt, event_callback on_event);
    void cancel(const request_id& request, const cancel_attempt& attempt);

    [[nodiscard]] std::int64_t draw(std::int64_t below)
    {
        return static_cast<std::int64_t>(this->random() % static_cast<std::uint64_t>(below));
    }

    pool_faults faults;
    std::vector<executed_step> ledger;

private:
    struct engine {
        target spec;
        std::unique_ptr<standins::engine_cache> cache;
        bool alive = true;
        time_point frozen_until{0};
        std::int64_t epoch = 0;
        //! What callers of this engine wait for; all of it fails when the engine dies.
        std::vector<std::function<void()>> on_death;
    };
    struct stream;

    milliseconds latency() { return {1 + this->draw(6)}; }
    bool chance(int in_thousand) { return this->draw(1000) < in_thousand; }
    //! Runs it in the engine's process: later when it is frozen, never when that process has died.
    void in_process(const target_id& engine, std::int64_t epoch, std::function<void()> run);
    void send_step(const standins::step_work& work, const standins::step_callback& done);
    void run_step(const target_id& at, const standins::step_work& work, const standins::step_callback& done);
    void hand_on(const target_id& at, standins::step_work next, const standins::step_callback& done);
    void next_token(const std::shared_ptr<stream>& running);
    void send_line(const std::shared_ptr<stream>& running, const generation_event& event);

    virtual_loop& loop;
    std::mt19937_64 random;
    std::map<target_id, engine> engines;
};

} // namespace dandelionstep::testing
