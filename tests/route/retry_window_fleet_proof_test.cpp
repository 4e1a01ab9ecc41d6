#include "route/retry_budget.hpp"
#include "route/sharer_count.hpp"
#include "support/repeat_limit.hpp"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <numbers>
#include <random>
#include <utility>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr milliseconds window{10'000};
constexpr milliseconds step{20};
constexpr milliseconds count_interval{1'000};
//! After which the rule changes, again and again.
constexpr milliseconds switch_interval{37'000};
constexpr time_point start{3'600'000};
constexpr double slack = 306;
constexpr double ratio = 0.2;
constexpr std::int64_t unseen_daemons = 1;

enum class rules : std::uint8_t { balance, window, switched };

struct day_plan {
    rules rule = rules::window;
    std::size_t daemons = 61;
    double requests_per_second = 271;
    //! Share by which the traffic rises and falls, within `wave`.
    double swing = 0;
    milliseconds wave{15'000};
    //! The traffic falls to this share of it, and comes back, every 25 s.
    double fallen_to = 1;
    //! Mean time between two restarts, stops or joins of daemons; 0 for none.
    milliseconds change_interval{0};
    //! Mean time between two deaths of an engine.
    milliseconds death_interval{7'000};
    //! Streams of each daemon that an engine's death breaks off.
    int streams_broken = 40;
    //! Whether most requests also fail for some seconds after a death.
    bool fails_on = true;
    std::uint64_t seed = 0;
};

struct sharing_daemon {
    retry_budget budget = budget_at_start();
    time_point slack_from = start;
    time_point first_window_until = start + window / 2;
    daemon_count_history sharers{};
    //! How much later than others it learns of a configuration.
    milliseconds news_delay{0};
    //! How often it is chosen for a request.
    double weight = 1;
    bool is_used = false;
};

//! Daemons that share the retries of a service and what they sent.
struct sharing_fleet {
    day_plan plan;
    std::mt19937_64 random{plan.seed};
    std::vector<sharing_daemon> daemons{plan.daemons};
    repeat_record record{};
    time_point failing_until{0};

    bool occurs(double probability) { return std::bernoulli_distribution(probability)(this->random); }

    bool occurs_within_step(milliseconds mean_interval)
    {
        return mean_interval.count > 0 &&
               this->occurs(static_cast<double>(step.count) / static_cast<double>(mean_interval.count));
    }

    sharing_daemon& any()
    {
        return this
            ->daemons[std::uniform_int_distribution<std::size_t>(0, this->daemons.size() - 1)(this->random)];
    }

    [[nodiscard]] retry_rule rule_at(const sharing_daemon& daemon, time_point now) const
    {
        const bool is_odd = ((now - start) - daemon.news_delay).count / switch_interval.count % 2 != 0;
        const bool by_window =
            this->plan.rule == rules::window || (this->plan.rule == rules::switched && is_odd);
        return by_window ? retry_rule::window : retry_rule::balance;
    }

    retry_budget& budget_of(sharing_daemon& daemon, time_point now) const
    {
        const retry_bounds bounds{ratio, slack,
                                  max_recent_daemon_count(daemon.sharers, now) + unseen_daemons};
        if (!std::exchange(daemon.is_used, true)) {
            daemon.budget.rule = this->rule_at(daemon, now);
            daemon.budget.first_window_until = daemon.first_window_until;
        }
        set_share(daemon.budget, bounds);
        if (now >= daemon.slack_from) {
            add_slack(daemon.budget, bounds);
        }
        set_rule(daemon.budget, this->rule_at(daemon, now), window, now);
        return daemon.budget;
    }

    void retry(sharing_daemon& daemon, int wanted, time_point now)
    {
        for (int i = 0; i < wanted && take_retry(this->budget_of(daemon, now), now); ++i) {
            this->record.repeats.push_back(now);
        }
    }

    void serve(time_point now)
    {
        sharing_daemon& daemon = this->any();
        note_request(this->budget_of(daemon, now), now);
        this->record.requests.push_back(now);
        constexpr int most_retries = 3;
        constexpr double failing_share = 0.7;
        this->retry(daemon, now < this->failing_until && this->occurs(failing_share) ? most_retries : 0, now);
    }

    [[nodiscard]] double rate_at(time_point now) const
    {
        constexpr milliseconds fall_interval{25'000};
        const auto passed = static_cast<double>((now - start).count);
        const double phase = 2 * std::numbers::pi * passed / static_cast<double>(this->plan.wave.count);
        const bool fallen = (now - start).count / fall_interval.count % 2 != 0;
        return this->plan.requests_per_second * (1 + this->plan.swing * std::sin(phase)) *
               (fallen ? this->plan.fallen_to : 1);
    }

    // A daemon is restarted, stops for good or joins. Those that join or are restarted have no slack yet.
    void change_daemons(time_point now)
    {
        sharing_daemon joined;
        joined.slack_from = now + window;
        joined.first_window_until = time_point{0};
        joined.news_delay = this->any().news_delay;
        record_daemon_count(joined.sharers, static_cast<std::int64_t>(this->daemons.size() + 1), now, window);
        switch (this->random() % 3) {
        case 0:
            this->any() = joined;
            break;
        case 1:
            std::swap(this->any(), this->daemons.back());
            this->daemons.pop_back();
            break;
        default:
            this->daemons.push_back(joined);
            break;
        }
    }

    void run(milliseconds span)
    {
        constexpr milliseconds longest_failure{8'000};
        constexpr milliseconds longest_delay{30'000};
        for (sharing_daemon& daemon : this->daemons) {
            daemon.news_delay = milliseconds{static_cast<std::int64_t>(this->random() % 1'000)};
        }
        this->daemons.front().news_delay = longest_delay;
        for (time_point now = start; now < start + span; now = now + step) {
            if ((now - start).count % count_interval.count == 0) {
                for (sharing_daemon& daemon : this->daemons) {
                    record_daemon_count(daemon.sharers, static_cast<std::int64_t>(this->daemons.size()), now,
                                        window);
                }
            }
            if (this->daemons.size() > 2 && this->occurs_within_step(this->plan.change_interval)) {
                this->change_daemons(now);
            }
            if (this->occurs_within_step(this->plan.death_interval)) {
                this->failing_until = this->plan.fails_on ? now + milliseconds{static_cast<std::int64_t>(
                                                                      this->random() % longest_failure.count)}
                                                          : now;
                for (sharing_daemon& daemon : this->daemons) {
                    this->retry(daemon, this->plan.streams_broken, now);
                }
            }
            const double expected = this->rate_at(now) * static_cast<double>(step.count) / 1'000;
            for (int left = std::poisson_distribution<int>(expected)(this->random); left > 0; --left) {
                this->serve(now);
            }
        }
    }
};

double excess_of(const day_plan& plan)
{
    sharing_fleet fleet{plan};
    fleet.run(window * 12);
    return worst_excess(fleet.record, {ratio, slack, window});
}

void check_days(day_plan plan)
{
    for (const double swing : {0.0, 0.55}) {
        for (const double fallen_to : {1.0, 0.1}) {
            for (const milliseconds between : {milliseconds{0}, milliseconds{700}, milliseconds{4'000}}) {
                for (const bool fails_on : {false, true}) {
                    plan.swing = swing;
                    plan.fallen_to = fallen_to;
                    plan.change_interval = between;
                    plan.fails_on = fails_on;
                    ++plan.seed;
                    CAPTURE(swing);
                    CAPTURE(fallen_to);
                    CAPTURE(between.count);
                    CAPTURE(fails_on);
                    CAPTURE(plan.seed);
                    CHECK(excess_of(plan) <= 0);
                }
            }
        }
    }
}

// Two daemons of which one is told of a change of the rule later than the other. The traffic moves from the
// first to the second at the moment of the change, and all requests fail from then on.
double excess_at_change(time_point change, milliseconds first_delay, milliseconds second_delay)
{
    sharing_fleet fleet{{.rule = rules::switched, .daemons = 2}};
    fleet.daemons[0].news_delay = first_delay;
    fleet.daemons[1].news_delay = second_delay;
    for (time_point now = start; now < change + window * 2; now = now + step) {
        sharing_daemon& daemon = fleet.daemons[now < change ? 0 : 1];
        for (sharing_daemon& one : fleet.daemons) {
            record_daemon_count(one.sharers, 2, now, window);
        }
        for (int request = 0; request < 5; ++request) {
            note_request(fleet.budget_of(daemon, now), now);
            fleet.record.requests.push_back(now);
        }
        fleet.retry(daemon, now < change ? 0 : 5, now);
        fleet.retry(fleet.daemons[0], now < change ? 0 : 1'000, now);
    }
    return worst_excess(fleet.record, {ratio, slack, window});
}

std::size_t retries_at_death(retry_rule rule)
{
    constexpr milliseconds before{30'000};
    sharing_fleet fleet{
        {.rule = rule == retry_rule::window ? rules::window : rules::balance, .death_interval = {0}}};
    fleet.run(before);
    for (sharing_daemon& daemon : fleet.daemons) {
        fleet.retry(daemon, fleet.plan.streams_broken, start + before);
    }
    return fleet.record.repeats.size();
}

} // namespace

TEST_CASE("all daemons together stay within each window's allowance, in waves, falls, restarts and deaths")
{
    check_days({.seed = 1'000});
    check_days({.daemons = 5, .requests_per_second = 30, .seed = 2'000});
}

TEST_CASE("the change from one rule to the other does not exceed a window's allowance")
{
    check_days({.rule = rules::switched, .seed = 3'000});
    check_days({.rule = rules::switched, .daemons = 5, .requests_per_second = 30, .seed = 4'000});
}

TEST_CASE("daemons that learn of the change at different times do not exceed a window's allowance")
{
    const time_point to_window = start + switch_interval;
    const time_point to_balance = to_window + switch_interval;
    for (const milliseconds delay : {milliseconds{0}, milliseconds{1'000}, milliseconds{8'000}, window * 2}) {
        CAPTURE(delay.count);
        for (const time_point change : {to_window, to_balance}) {
            CHECK(excess_at_change(change, milliseconds{0}, delay) <= 0);
            CHECK(excess_at_change(change, delay, milliseconds{0}) <= 0);
        }
    }
}

TEST_CASE("what requests earned can be spent at once when an engine dies")
{
    // 61 daemons with 271 requests per second: 306 and 542 retries are allowed.
    const std::size_t by_window = retries_at_death(retry_rule::window);
    CHECK(by_window >= 600);
    CHECK(by_window <= 848);
    CHECK(retries_at_death(retry_rule::balance) <= 306);
}
