#pragma once

#include "common/json_types.hpp"
#include "soak/fault_proxy.hpp"
#include "soak/soak_run.hpp"
#include "support/entry_cluster.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace dandelionstep::soak {

//! A run of the phase of faults.
class soak_run {
public:
    explicit soak_run(const soak_options& options_in);
    soak_result run();

private:
    void connect_proxy(const std::string& name, const endpoint& at);
    std::uint64_t below(std::uint64_t limit) { return this->random() % limit; }
    template <class Items>
    const std::string& pick(const Items& items)
    {
        return items[this->below(items.size())];
    }
    void violation(const std::string& text) { this->result.violations.push_back(text); }
    void note(const std::string& action);
    void inject();
    void tend_until(std::chrono::steady_clock::time_point end);
    void later(const std::function<void()>& undo);
    void undo_due();
    void strike();
    void strike_link();
    void strike_store();
    void pause_process();
    void kill_daemon(int signal);
    void kill_engine();
    void strike_replica();
    void strike_by_answer();
    void have_leave_by_answer();
    void have_rest();
    void strike_by_copy();
    void have_refusals_repeated();
    void strike_by_restore();
    bool is_sound(const std::string& id);
    void change_config();
    void heal();
    void check_deaths();
    void check_recovery();
    void keep_logs();
    void check_processes();

    soak_options options;
    std::mt19937_64 random;
    //! Draws what replicas say in their answers, and what comes once more over their connections.
    std::mt19937_64 answer_random;
    std::mt19937_64 copy_random;
    //! Draws when the store comes back from an older copy.
    std::mt19937_64 restore_random;
    // Proxies outlive the processes that connect through them.
    std::map<std::string, std::unique_ptr<fault_proxy>> proxies;
    std::unique_ptr<testing::entry_cluster> cluster;
    std::vector<std::string> engines;
    std::vector<std::string> services;
    std::multimap<std::chrono::steady_clock::time_point, std::function<void()>> undos;
    //! Processes that are down on purpose.
    std::set<std::string> down;
    //! Replicas that a request has ended, and when they start again; all those ends.
    std::map<std::string, std::chrono::steady_clock::time_point> restart_at;
    std::vector<std::chrono::steady_clock::time_point> deaths;
    int keys = 0;
    std::chrono::steady_clock::time_point began = std::chrono::steady_clock::now();
    soak_result result;
};

} // namespace dandelionstep::soak
