#pragma once

#include "soak/soak_run.hpp"
#include "support/entry_cluster.hpp"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace dandelionstep::soak {

//! A request whose body or path holds this text ends each replica that runs it.
inline constexpr const char* ending_text = "ends-its-target";

enum class asked_kind { stream, order, lookup };

//! One request of a caller and what came of it.
struct asked {
    std::string attempt;
    std::size_t daemon = 0;
    asked_kind kind = asked_kind::stream;
    std::string body;
    testing::caller_answer answer;
};

//! Callers who ask all daemons over connections that they keep until the daemon ends them. One of them sends
//! a request that ends its targets, again and again.
class soak_callers {
public:
    soak_callers(testing::entry_cluster& cluster, const soak_options& options);
    ~soak_callers();
    soak_callers(const soak_callers&) = delete;
    soak_callers& operator=(const soak_callers&) = delete;
    soak_callers(soak_callers&&) = delete;
    soak_callers& operator=(soak_callers&&) = delete;

    //! From now on no request ends its targets.
    void stop_ending() { this->ending_stopped = true; }
    //! Ends the callers and returns what they asked; requests that end their targets are not among it.
    std::vector<asked> stop();

private:
    void call_until_stopped(int caller);
    void repeat_until_stopped();

    testing::entry_cluster& cluster;
    soak_options options;
    std::atomic<bool> stopped = false;
    std::atomic<bool> ending_stopped = false;
    std::mutex lock;
    std::vector<asked> requests;
    std::vector<std::jthread> threads;
};

} // namespace dandelionstep::soak
