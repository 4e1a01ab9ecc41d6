#include "route/retry_budget.hpp"
#include "route/sharer_count.hpp"
#include "support/repeat_limit.hpp"

#include <doctest/doctest.h>
#include <random>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr milliseconds window{10'000};
constexpr std::int64_t slack = 200;
constexpr double ratio = 0.2;
constexpr int most_retries = 3;

struct fleet_plan {
    std::int64_t daemons = 8;
    //! Mean time between two restarts of a daemon; 0 for no restarts.
    milliseconds restart_interval{0};
    bool restart_together = false;
    milliseconds request_interval{40};
    std::uint64_t seed = 0;
    //! Whether the daemons at times see too few of the others.
    bool miscounted = false;
};

//! Daemons that share the bounds, and targets that fail for some periods.
struct simulated_fleet {
    struct daemon {
        retry_budget budget = budget_at_start();
        time_point started{0};
        daemon_count_history history{};
    };

    fleet_plan plan;
    std::mt19937_64 random;
    std::vector<daemon> daemons;
    repeat_record record;

    explicit simulated_fleet(const fleet_plan& plan_in)
        : plan(plan_in), random(plan_in.seed), daemons(static_cast<std::size_t>(plan_in.daemons))
    {}

    bool occurs(double probability) { return std::bernoulli_distribution(probability)(this->random); }

    void restart_some(time_point now, milliseconds step)
    {
        if (this->plan.restart_interval.count == 0) {
            return;
        }
        const double share =
            static_cast<double>(step.count) / static_cast<double>(this->plan.restart_interval.count);
        const bool all = this->plan.restart_together && this->occurs(share);
        for (daemon& one : this->daemons) {
            if (all || (!this->plan.restart_together && this->occurs(share))) {
                one = {budget_at_start(), now, {}};
                record_daemon_count(one.history, this->plan.daemons, now, window);
            }
        }
    }

    // After the first half minute, every daemon sees only itself for the first seconds of each half minute,
    // as after an outage of the store.
    void count(time_point now)
    {
        constexpr milliseconds half_minute{30'000};
        constexpr milliseconds miscount_duration{6'000};
        const bool sees_none = this->plan.miscounted &&
                               now.count % half_minute.count < miscount_duration.count &&
                               now >= time_point{0} + half_minute;
        for (daemon& one : this->daemons) {
            record_daemon_count(one.history, sees_none ? 1 : this->plan.daemons, now, window);
        }
    }

    void send_request(daemon& at, bool fails, time_point now)
    {
        const retry_bounds bounds{ratio, slack, max_recent_daemon_count(at.history, now)};
        set_share(at.budget, bounds);
        if (now - at.started >= window) {
            add_slack(at.budget, bounds);
        }
        note_request(at.budget);
        this->record.requests.push_back(now);
        for (int retry = 0; fails && retry < most_retries && take_retry(at.budget); ++retry) {
            this->record.repeats.push_back(now);
        }
    }

    void run(milliseconds span)
    {
        constexpr milliseconds target_period{3'000};
        constexpr double failing_share = 0.3;
        constexpr milliseconds count_interval{1'000};
        bool failing = false;
        for (time_point now{0}; now < time_point{0} + span; now = now + this->plan.request_interval) {
            if (now.count % target_period.count < this->plan.request_interval.count) {
                failing = this->occurs(failing_share);
            }
            this->restart_some(now, this->plan.request_interval);
            if (now.count % count_interval.count < this->plan.request_interval.count) {
                this->count(now);
            }
            this->send_request(this->daemons[this->random() % this->daemons.size()], failing, now);
        }
    }
};

double worst_excess_of(const fleet_plan& plan)
{
    simulated_fleet fleet(plan);
    fleet.run(window * 30);
    return worst_excess(fleet.record, {ratio, slack, window});
}

} // namespace

TEST_CASE("all daemons together retry no more than a window allows, however often they are restarted")
{
    for (std::uint64_t seed = 0; seed < 8; ++seed) {
        CAPTURE(seed);
        for (const std::int64_t daemons : {1, 3, 8, 40}) {
            CAPTURE(daemons);
            for (const milliseconds between :
                 {milliseconds{0}, window / 4, window, window * 5 / 4, window * 4}) {
                CAPTURE(between.count);
                for (const bool restart_together : {false, true}) {
                    for (const milliseconds pause : {milliseconds{5}, milliseconds{40}, milliseconds{400}}) {
                        CHECK(worst_excess_of({daemons, between, restart_together, pause, seed}) <= 0);
                    }
                }
            }
        }
    }
}

TEST_CASE("all daemons together retry no more than a window allows while they see too few of the others")
{
    for (std::uint64_t seed = 0; seed < 8; ++seed) {
        CAPTURE(seed);
        for (const std::int64_t daemons : {3, 8, 40}) {
            CAPTURE(daemons);
            for (const milliseconds pause : {milliseconds{2}, milliseconds{10}, milliseconds{40}}) {
                CAPTURE(pause.count);
                fleet_plan plan{.daemons = daemons, .request_interval = pause, .seed = seed};
                plan.miscounted = true;
                CHECK(worst_excess_of(plan) <= 0);
            }
        }
    }
}

TEST_CASE("a process that has run for a window has its whole share of the slack, whatever its requests added")
{
    const retry_bounds bounds{ratio, slack, 8};
    for (const int requests : {0, 10, 1'000}) {
        retry_budget budget = budget_at_start();
        set_share(budget, bounds);
        CHECK_FALSE(may_retry(budget));
        for (int i = 0; i < requests; ++i) {
            note_request(budget);
        }
        add_slack(budget, bounds);
        add_slack(budget, bounds);
        CHECK(budget.balance == doctest::Approx(slack / 8.0));
    }
}

TEST_CASE("the balance that requests reached before is deducted from the slack, even if retries have used it")
{
    const retry_bounds bounds{ratio, slack, 8};
    retry_budget budget = budget_at_start();
    set_share(budget, bounds);
    for (int i = 0; i < 50; ++i) {
        note_request(budget);
    }
    while (take_retry(budget)) {
    }
    const double left = budget.balance;
    add_slack(budget, bounds);
    CHECK(budget.balance == doctest::Approx(left + slack / 8.0 - 50 * ratio));
}
