#pragma once

#include "support/cluster.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace dandelionstep::testing {

//! What callers behind a balancer met.
struct load_counts {
    int answered = 0;
    //! Requests that a daemon refused as not run and another one then answered.
    int moved = 0;
    std::vector<std::string> failures;
};

//! Callers behind a balancer that asks /readyz; they take another daemon when one did not run their request.
class balanced_load {
public:
    balanced_load(cluster& running, std::size_t daemons, int callers);
    ~balanced_load();
    balanced_load(const balanced_load&) = delete;
    balanced_load& operator=(const balanced_load&) = delete;
    balanced_load(balanced_load&&) = delete;
    balanced_load& operator=(balanced_load&&) = delete;

    //! Requests answered until now.
    [[nodiscard]] int answered();
    //! Lets every caller finish its last request; returns what they met.
    load_counts finish();
    //! The keys of all orders that were answered.
    [[nodiscard]] const std::vector<std::string>& order_keys() const { return this->keys; }

private:
    void watch_health();
    void run_caller(int caller);
    void run_request(int caller, int number);
    bool try_daemon(std::size_t daemon, int caller, int number, std::string& failure);
    void note(const std::string& failure, bool moved);

    cluster& running;
    std::vector<std::atomic<bool>> ready;
    std::atomic<bool> stopping = false;
    std::mutex lock;
    load_counts counts;
    std::vector<std::string> keys;
    std::vector<std::thread> threads;
};

} // namespace dandelionstep::testing
