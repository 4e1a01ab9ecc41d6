#pragma once

#include "vm/membership.hpp"
#include "vm/membership_table.hpp"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace dandelionstep::testing {

//! Daemons that exchange messages in virtual time. Messages can be lost, links cut and processes stopped.
class fake_network {
public:
    struct node {
        membership state;
        bool running = true;
    };

    //! Starts `per_data_centre` daemons in each of `data_centres` data centres; the seeds of all of them are
    //! the first daemons of each data centre.
    fake_network(std::uint64_t seed, std::size_t data_centres, std::size_t per_data_centre) : random(seed)
    {
        for (std::size_t i = 0; i < data_centres * per_data_centre; ++i) {
            this->add(i / per_data_centre, {static_cast<std::int64_t>(1000 + i)});
        }
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            for (std::size_t d = 0; d < data_centres; ++d) {
                this->nodes[i].state.seeds.push_back(address_of(d * per_data_centre));
            }
            this->begin(i);
        }
    }

    void add(std::size_t data_centre, incarnation started)
    {
        const std::size_t index = this->nodes.size();
        node fresh;
        fresh.state.self = {.vm = vm_id("vm" + std::to_string(index)),
                            .data_centre = data_centre_id("dc" + std::to_string(data_centre)),
                            .peer_address = address_of(index),
                            .operator_address = {},
                            .started = started,
                            .state = member_state::alive,
                            .newest_schema_version = 1};
        fresh.state.seed = this->random();
        this->nodes.push_back(std::move(fresh));
    }

    void begin(std::size_t index) { this->carry_out(index, start(this->nodes[index].state, this->now)); }

    //! Starts a new process with empty state at the same address.
    void restart(std::size_t index, incarnation started)
    {
        membership fresh;
        fresh.self = this->nodes[index].state.self;
        fresh.self.started = started;
        fresh.self.state = member_state::alive;
        fresh.seed = this->random();
        fresh.seeds = this->nodes[index].state.seeds;
        this->nodes[index] = {std::move(fresh), true};
        this->begin(index);
    }

    void run(milliseconds duration)
    {
        const time_point end = this->now + duration;
        while (this->now < end) {
            this->now = this->now + milliseconds{100};
            this->report_failures();
            for (std::size_t i = 0; i < this->nodes.size(); ++i) {
                if (this->nodes[i].running) {
                    this->carry_out(i, on_tick(this->nodes[i].state, this->now));
                }
            }
        }
    }

    //! Runs until the condition holds; returns false if it does not hold within the time.
    bool run_until(const std::function<bool()>& condition, milliseconds within)
    {
        const time_point end = this->now + within;
        while (this->now < end && !condition()) {
            this->run({100});
        }
        return condition();
    }

    void carry_out(std::size_t from, const membership_actions& actions)
    {
        for (const member& each : actions.changed) {
            this->deaths += each.state == member_state::dead ? 1 : 0;
        }
        for (const outgoing_message& each : actions.to_send) {
            this->exchange(from, each);
        }
    }

    //! The state of daemon `of` in the view of daemon `at`; empty if `at` doesn't know it.
    [[nodiscard]] std::optional<member_state> view(std::size_t of, std::size_t at) const
    {
        const auto& others = this->nodes[at].state.others;
        const auto found = others.find(this->nodes[of].state.self.vm);
        return found == others.end() ? std::nullopt : std::optional(found->second.info.state);
    }

    //! Whether every other running daemon sees daemon `of` in the expected state.
    [[nodiscard]] bool all_see(std::size_t of, member_state expected) const
    {
        for (std::size_t at = 0; at < this->nodes.size(); ++at) {
            if (at != of && this->nodes[at].running && this->view(of, at) != expected) {
                return false;
            }
        }
        return true;
    }

    //! Whether all running daemons see each other as alive.
    [[nodiscard]] bool all_alive() const
    {
        for (std::size_t of = 0; of < this->nodes.size(); ++of) {
            if (this->nodes[of].running && !this->all_see(of, member_state::alive)) {
                return false;
            }
        }
        return true;
    }

    static endpoint address_of(std::size_t index)
    {
        return {"192.0.2.1", static_cast<std::uint16_t>(index + 1)};
    }

    std::vector<node> nodes;
    time_point now{1'000'000};
    std::mt19937_64 random;
    //! How many of 1000 messages are lost.
    std::uint64_t lost_per_mille = 0;
    std::function<bool(std::size_t from, std::size_t to)> cut = [](std::size_t, std::size_t) {
        return false;
    };
    //! How often a daemon began to see another one as dead.
    int deaths = 0;
    std::int64_t messages = 0;
    std::int64_t members_sent = 0;
    //! The most members in a message other than a full table.
    std::size_t most_updates = 0;

private:
    struct failure {
        time_point due;
        std::size_t from = 0;
        outgoing_message tried;
    };

    bool arrives(std::size_t from, std::size_t to)
    {
        return this->nodes[to].running && !this->cut(from, to) &&
               this->random() % 1000 >= this->lost_per_mille;
    }

    void count(const member_message& message, bool full_table)
    {
        ++this->messages;
        this->members_sent += static_cast<std::int64_t>(message.members.size()) + 1;
        if (!full_table) {
            this->most_updates = std::max(this->most_updates, message.members.size());
        }
    }

    void exchange(std::size_t from, const outgoing_message& to)
    {
        const std::size_t receiver = to.to.port - 1U;
        member_message question = make_message(this->nodes[from].state, to.vm, false);
        question.wants_full_table = to.wants_full_table;
        question.probe = to.probe;
        question.confirmed = to.confirmed;
        this->count(question, false);
        if (!this->arrives(from, receiver)) {
            this->failures.push_back({this->now + milliseconds{900}, from, to});
            return;
        }
        this->carry_out(receiver, on_message(this->nodes[receiver].state, question, this->now));
        const member_message reply =
            make_message(this->nodes[receiver].state, question.sender.vm, question.wants_full_table);
        this->count(reply, question.wants_full_table);
        if (!this->arrives(receiver, from)) {
            this->failures.push_back({this->now + milliseconds{900}, from, to});
            return;
        }
        this->carry_out(from, on_message(this->nodes[from].state, reply, this->now));
    }

    void report_failures()
    {
        std::vector<failure> due;
        std::erase_if(this->failures, [&](const failure& each) {
            if (each.due <= this->now) {
                due.push_back(each);
                return true;
            }
            return false;
        });
        for (const failure& each : due) {
            if (this->nodes[each.from].running) {
                this->carry_out(each.from,
                                on_send_failed(this->nodes[each.from].state, each.tried, this->now));
            }
        }
    }

    std::vector<failure> failures;
};

} // namespace dandelionstep::testing
