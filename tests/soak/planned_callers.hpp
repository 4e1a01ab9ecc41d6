#pragma once

#include "soak/raw_channel.hpp"
#include "soak/soak_callers.hpp"

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

namespace dandelionstep::soak {

inline constexpr std::int64_t usual_idle_ms = 5'000;
//! No body is larger; the system's buffers hold less than its answer.
inline constexpr std::size_t largest_body = 6'000'000;

//! The idle timeout that holds for what begins now, whichever configuration a daemon has. Callers pause for
//! four fifths of it at most, however it changes meanwhile.
struct promised_limits {
    std::atomic<std::int64_t> idle_ms = usual_idle_ms;
};

//! One request, what came of it and how it went.
struct planned_asked {
    asked request;
    raw_outcome outcome;
};

//! Callers who keep connections and use them again until the process is gone; some send bodies in parts with
//! a pause, some take large answers in parts.
class planned_callers {
public:
    planned_callers(testing::entry_cluster& cluster, const soak_options& options,
                    const promised_limits& limits);
    ~planned_callers();
    planned_callers(const planned_callers&) = delete;
    planned_callers& operator=(const planned_callers&) = delete;
    planned_callers(planned_callers&&) = delete;
    planned_callers& operator=(planned_callers&&) = delete;

    //! Ends the callers and returns what they asked.
    std::vector<planned_asked> stop();

private:
    void call_until_stopped(int caller);
    //! The longest pause of what begins now.
    [[nodiscard]] std::chrono::milliseconds most_pause() const;

    testing::entry_cluster& cluster;
    soak_options options;
    const promised_limits& limits;
    std::atomic<bool> stopped = false;
    std::mutex lock;
    std::vector<planned_asked> requests;
    std::vector<std::jthread> threads;
};

} // namespace dandelionstep::soak
