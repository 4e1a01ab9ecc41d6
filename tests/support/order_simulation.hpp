#pragma once

#include "order/background_write.hpp"
#include "order/order.hpp"
#include "order/settlement.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace dandelionstep::testing {

//! The table, with the history that a stale read can return.
struct simulated_table {
    std::optional<stored_order> row;
    std::vector<std::optional<stored_order>> history;
    std::int64_t last_version = 0;

    //! Executes one conditional write.
    order_event execute(row_version expected, const order_record& record)
    {
        const row_version current = this->row ? this->row->version : row_version{0};
        if (current != expected) {
            return write_conflicted{this->row};
        }
        this->history.push_back(this->row);
        this->row = stored_order{row_version{++this->last_version}, record};
        return write_committed{this->row->version};
    }
};

//! What one caller's try of the order came to.
struct simulated_attempt {
    std::size_t daemon = 0;
    order_state state;
    std::int64_t executions = 0;
    std::optional<outcome> told;
    bool repeated = false;
    int answers = 0;
};

//! How a run is made.
struct simulation_plan {
    std::uint64_t seed = 0;
    std::size_t daemons = 3;
    std::size_t attempts = 6;
    //! Sends without a claim, as a router without this protocol does.
    bool naive = false;
    //! An operator settles the order now and then, at times wrongly.
    bool operator_settles = false;
};

//! Several daemons that get repeats of one order, with faults of table, targets and daemons drawn from the
//! seed.
class order_simulation {
public:
    explicit order_simulation(const simulation_plan& plan);

    void run();

    simulated_table table;
    std::vector<simulated_attempt> attempts;
    [[nodiscard]] bool died(std::size_t daemon) const { return this->dead.at(daemon); }
    [[nodiscard]] std::int64_t executions() const;

private:
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
    void after(std::int64_t delay, std::function<void()> run);
    //! Runs on a daemon: later while it is paused, never once it is dead.
    void on_daemon(std::size_t daemon, std::int64_t delay, std::function<void()> run);
    void handle(std::size_t attempt, const order_event& event);
    std::vector<order_action> decide(simulated_attempt& attempt, const order_event& event);
    std::vector<order_action> decide_naively(simulated_attempt& attempt, const order_event& event);
    void perform(std::size_t attempt, const write_order& action);
    void perform(std::size_t attempt, const read_order& action);
    void perform(std::size_t attempt, const send_order& action);
    void perform(std::size_t attempt, const answer_order& action);
    void perform(std::size_t attempt, const refuse_order& action);
    void perform(std::size_t attempt, const release_order& action);
    void perform(std::size_t attempt, const record_answer& action);
    void write(std::size_t daemon, row_version expected, const order_record& record,
               const std::function<void(const order_event&)>& done);
    void write_in_background(std::size_t daemon, background_write pending);
    void schedule_faults();
    void handle(const std::shared_ptr<settlement_state>& settlement, const settlement_event& event);
    void schedule_settlements();

    simulation_plan plan;
    std::mt19937_64 random;
    std::int64_t now = 0;
    std::int64_t numbered = 0;
    std::priority_queue<event> events;
    std::vector<bool> dead;
    std::vector<std::int64_t> paused_until;
};

} // namespace dandelionstep::testing
