#pragma once

#include "common/json_types.hpp"
#include "soak/planned_callers.hpp"
#include "support/entry_cluster.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace dandelionstep::soak {

enum class stop_state { stopping, starting, over };

//! From a daemon's SIGTERM until it takes callers again.
struct stop_window {
    std::size_t daemon = 0;
    std::chrono::steady_clock::time_point began;
    std::chrono::steady_clock::time_point ended;
    stop_state state = stop_state::stopping;
    //! What the daemon logged up to its end.
    std::string log;
};

//! Targets for a planned phase: plain ones of two services, so that routes can move and split.
testing::entry_plan planned_plan(const soak_options& options);

//! What operators and the platform do on a day without crashes, drawn from the seed: changes of the
//! configuration of each kind, SIGHUP, SIGTERM and a new start; beside them sound targets fall silent for a
//! while. Actions overlap.
class planned_work {
public:
    planned_work(testing::entry_cluster& cluster, const soak_options& options, soak_result& result);

    //! Does one more thing.
    void act();
    //! Ends what is due; to be called often.
    void tend();
    //! Waits until nothing is silent or down.
    void finish();
    [[nodiscard]] const promised_limits& limits() const { return this->promised; }
    [[nodiscard]] std::chrono::steady_clock::time_point start() const { return this->began; }
    [[nodiscard]] const std::vector<stop_window>& stops() const { return this->windows; }

private:
    using time_point = std::chrono::steady_clock::time_point;

    std::uint64_t below(std::uint64_t limit) { return this->random() % limit; }
    time_point silence_end();
    void note(const std::string& action);
    std::optional<std::string> draw_replica();
    void silence_process();
    void silence_answers();
    void change_config();
    void change_idle_timeout();
    void fill_config(json& config) const;
    void hang_up();
    void stop_daemon();
    void end_stop(stop_window& window);
    void await_start(stop_window& window);
    [[nodiscard]] bool is_stopping(std::size_t daemon) const;

    testing::entry_cluster& cluster;
    soak_options options;
    soak_result& result;
    std::mt19937_64 random;
    time_point began = std::chrono::steady_clock::now();
    std::map<std::string, time_point> frozen;
    std::map<std::string, time_point> holding;
    std::vector<stop_window> windows;
    promised_limits promised;
    time_point raised_at;

    // What the next configuration says.
    std::int64_t timeout_ms = 12'000;
    std::int64_t header_ms = 8'000;
    std::int64_t idle_ms = usual_idle_ms;
    std::int64_t most_connections = 100;
    std::string order_service = "orders";
    std::int64_t spare_weight = 0;
    std::int64_t extra_routes = 0;
    std::int64_t extra_keys = 0;
};

} // namespace dandelionstep::soak
