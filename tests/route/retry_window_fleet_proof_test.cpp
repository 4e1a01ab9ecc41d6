#include "route/retry_budget.hpp"
#include "route/sharer_count.hpp"
#include "support/repeat_limit.hpp"

#include <array>
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
constexpr int streams_broken = 40;

enum class rules : std::uint8_t { balance, window, switched };

struct day_plan {
    rules rule = rules::window;
    std::size_t daemons = 61;
    double requests_per_second = 271;
    //! Share by which the traffic rises and falls within 15 s.
    double swing = 0;
    //! The traffic falls to this share of it, and comes back, every 25 s.
    double fallen_to = 1;
    //! Mean time between two restarts, stops or joins of daemons; 0 for none.
    milliseconds change_interval{0};
    //! Mean time between two deaths of an engine.
    milliseconds death_interval{7'000};
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
    bool is_used = false;
};

//! Daemons that share the retries of a service and what they sent.
struct sharing_fleet {
    day_plan plan;
    std::mt19937_64 random{plan.seed};
    std::vector<sharing_daemon> daemons{plan.daemons};
    repeat_record record{};
    time_point failing_until{0};

    std::int64_t draw(std::int64_t below)
    {
        return std::uniform_int_distribution<std::int64_t>(0, below - 1)(this->random);
    }
    sharing_daemon& any()
    {
        return this->daemons[static_cast<std::size_t>(this->draw(std::ssize(this->daemons)))];
    }
    bool occurs_every(milliseconds interval)
    {
        return interval.count > 0 && this->draw(interval.count) < step.count;
    }

    retry_budget& budget_of(sharing_daemon& daemon, time_point now) const
    {
        constexpr std::int64_t unseen_daemons = 1;
        const bool is_odd = (now - daemon.news_delay - start).count / switch_interval.count % 2 != 0;
        const bool by_window =
            this->plan.rule == rules::window || (this->plan.rule == rules::switched && is_odd);
        const retry_rule rule = by_window ? retry_rule::window : retry_rule::balance;
        if (!std::exchange(daemon.is_used, true)) {
            daemon.budget.rule = rule;
            daemon.budget.first_window_until = daemon.first_window_until;
        }
        const retry_bounds bounds{ratio, slack,
                                  max_recent_daemon_count(daemon.sharers, now) + unseen_daemons};
        set_share(daemon.budget, bounds);
        if (now >= daemon.slack_from) {
            add_slack(daemon.budget, bounds);
        }
        set_rule(daemon.budget, rule, window, now);
        return daemon.budget;
    }

    void retry(sharing_daemon& daemon, int wanted, time_point now)
    {
        for (int i = 0; i < wanted && take_retry(this->budget_of(daemon, now), now); ++i) {
            this->record.repeats.push_back(now);
        }
    }

    void request(sharing_daemon& daemon, int retries, time_point now)
    {
        note_request(this->budget_of(daemon, now), now);
        this->record.requests.push_back(now);
        this->retry(daemon, retries, now);
    }

    [[nodiscard]] double expected_in_step(time_point now) const
    {
        constexpr double wave_ms = 15'000;
        constexpr std::int64_t fall_ms = 25'000;
        const double wave =
            std::sin(2 * std::numbers::pi * static_cast<double>((now - start).count) / wave_ms);
        const double level = (now - start).count / fall_ms % 2 != 0 ? this->plan.fallen_to : 1;
        return this->plan.requests_per_second * (1 + this->plan.swing * wave) * level *
               static_cast<double>(step.count) / 1'000;
    }

    // A daemon is restarted, stops for good or joins. Those that join or are restarted have no slack yet.
    void change_daemons(time_point now)
    {
        sharing_daemon joined;
        joined.slack_from = now + window;
        joined.first_window_until = time_point{0};
        joined.news_delay = this->any().news_delay;
        record_daemon_count(joined.sharers, std::ssize(this->daemons) + 1, now, window);
        const std::int64_t change = this->draw(3);
        if (change == 0) {
            this->any() = joined;
        } else if (change == 1) {
            std::swap(this->any(), this->daemons.back());
            this->daemons.pop_back();
        } else {
            this->daemons.push_back(joined);
        }
    }

    void kill_engine(time_point now)
    {
        constexpr std::int64_t longest_failure_ms = 8'000;
        this->failing_until = now + milliseconds{this->plan.fails_on ? this->draw(longest_failure_ms) : 0};
        for (sharing_daemon& daemon : this->daemons) {
            this->retry(daemon, streams_broken, now);
        }
    }

    void run(milliseconds span)
    {
        for (sharing_daemon& daemon : this->daemons) {
            daemon.news_delay = milliseconds{this->draw(1'000)};
        }
        for (time_point now = start; now < start + span; now = now + step) {
            for (sharing_daemon& daemon : this->daemons) {
                if ((now - start).count % count_interval.count == 0) {
                    record_daemon_count(daemon.sharers, std::ssize(this->daemons), now, window);
                }
            }
            if (this->daemons.size() > 2 && this->occurs_every(this->plan.change_interval)) {
                this->change_daemons(now);
            }
            if (this->occurs_every(this->plan.death_interval)) {
                this->kill_engine(now);
            }
            const double expected = this->expected_in_step(now);
            for (int left = std::poisson_distribution<int>(expected)(this->random); left > 0; --left) {
                this->request(this->any(), now < this->failing_until && this->draw(10) < 7 ? 3 : 0, now);
            }
        }
    }
};

void check_days(day_plan plan)
{
    for (int day = 0; day < 24; ++day, ++plan.seed) {
        plan.swing = day % 2 == 0 ? 0 : 0.55;
        plan.fallen_to = day / 2 % 2 == 0 ? 1 : 0.1;
        plan.fails_on = day / 4 % 2 != 0;
        plan.change_interval = std::array{milliseconds{0}, milliseconds{700}, milliseconds{4'000}}.at(
            static_cast<std::size_t>(day / 8));
        CAPTURE(plan.seed);
        sharing_fleet fleet{plan};
        fleet.run(window * 12);
        CHECK(worst_excess(fleet.record, {ratio, slack, window}) <= 0);
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
        for (sharing_daemon& one : fleet.daemons) {
            record_daemon_count(one.sharers, 2, now, window);
        }
        for (int request = 0; request < 5; ++request) {
            fleet.request(fleet.daemons[now < change ? 0 : 1], now < change ? 0 : 5, now);
        }
        fleet.retry(fleet.daemons[0], now < change ? 0 : 1'000, now);
    }
    return worst_excess(fleet.record, {ratio, slack, window});
}

std::size_t retries_at_death(rules rule)
{
    constexpr milliseconds before{30'000};
    sharing_fleet fleet{{.rule = rule, .death_interval = {0}}};
    fleet.run(before);
    fleet.kill_engine(start + before);
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
    const time_point to_window = start + switch_interval;
    for (const milliseconds delay : {milliseconds{0}, milliseconds{1'000}, milliseconds{8'000}, window * 2}) {
        CAPTURE(delay.count);
        for (const time_point change : {to_window, to_window + switch_interval}) {
            CHECK(excess_at_change(change, milliseconds{0}, delay) <= 0);
            CHECK(excess_at_change(change, delay, milliseconds{0}) <= 0);
        }
    }
}

TEST_CASE("what requests earned can be spent at once when an engine dies")
{
    // 61 daemons with 271 requests per second: 306 and 542 retries are allowed.
    const std::size_t by_window = retries_at_death(rules::window);
    CHECK(by_window >= 600);
    CHECK(by_window <= 848);
    CHECK(retries_at_death(rules::balance) <= 306);
}
