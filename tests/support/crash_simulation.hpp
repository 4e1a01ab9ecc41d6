#pragma once

#include "request/suspects.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace dandelionstep::testing {

//! How a run with one request that crashes its targets is made.
struct crash_plan {
    std::uint64_t seed = 0;
    std::size_t daemons = 3;
    std::size_t targets = 6;
    //! News of a suspect reaches another daemon within this time.
    std::int64_t spread_ms = 50;
    //! A target dies this long after the request reached it.
    std::int64_t kill_ms = 20;
    //! The caller sends its request through all daemons at the same moment, else one after another.
    bool at_once = false;
    //! Times that the caller sends its request.
    int repeats = 200;
    int innocents = 300;
    //! Without suspects: what a router that only retries does.
    bool naive = false;
};

//! Daemons that run innocent requests and a crasher in the same batches; decisions only.
class crash_simulation {
public:
    explicit crash_simulation(const crash_plan& plan);

    void run();

    //! Incarnations of targets that the crasher took down.
    std::int64_t takedowns = 0;
    int innocents_finished = 0;
    int innocents_refused = 0;
    int crasher_refused = 0;
    //! Runs of innocents that ended with their target.
    int innocents_broken = 0;

private:
    struct target_state {
        target_id id;
        std::int64_t started = 1;
        bool up = true;
        //! The running requests, by number.
        std::set<std::size_t> aboard;
    };
    struct request_state {
        request_fingerprint fingerprint;
        std::size_t daemon = 0;
        bool crashes = false;
        int attempts = 0;
        std::set<target_id> excluded;
        std::function<void()> done;
    };
    struct event {
        std::int64_t at;
        std::int64_t number;
        std::function<void()> run;
        bool operator<(const event& other) const
        {
            return this->at != other.at ? this->at > other.at : this->number > other.number;
        }
    };

    std::int64_t draw(std::int64_t bound)
    {
        return static_cast<std::int64_t>(this->random() % static_cast<std::uint64_t>(bound));
    }
    [[nodiscard]] time_point time() const { return time_point{this->now}; }
    void after(std::int64_t delay, std::function<void()> run);
    std::size_t add_request(request_fingerprint fingerprint, std::size_t daemon, bool crashes);
    void send_crasher(std::size_t daemon, int left);
    void try_next(std::size_t request);
    [[nodiscard]] target_state* choose(const request_state& request, suspect_status standing);
    void run_on(std::size_t request, target_state& target);
    void finish(std::size_t request, target_state& target);
    void crash(target_state& target);
    void accuse(std::size_t request, const target_state& target);
    void spread(std::size_t from);
    void give_up(std::size_t request);

    crash_plan plan;
    std::mt19937_64 random;
    std::int64_t now = 1'000'000;
    std::int64_t numbered = 0;
    std::priority_queue<event> events;
    std::vector<suspect_table> tables;
    std::vector<target_state> targets;
    std::vector<request_state> requests;
};

} // namespace dandelionstep::testing
