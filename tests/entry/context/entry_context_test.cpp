#include "dialect.hpp"
#include "entry/context/entry_context.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;

namespace {

constexpr std::int64_t heard = 8;

struct counted_daemon {
    event_loop loop;
    entry_context context{this->loop, platform::users_platform(), {}};
};

} // namespace

TEST_CASE("a daemon that sees itself alone after it has seen others does not take their share of the retries")
{
    counted_daemon daemon;
    know_daemons(daemon.context, heard, 3);
    const double share = budget_of(daemon.context, service_id("orders")).max_balance;
    know_daemons(daemon.context, 1, 1);
    CHECK(daemon.context.daemons == 1);
    CHECK(budget_of(daemon.context, service_id("orders")).max_balance == share);
    know_daemons(daemon.context, heard * 2, 3);
    CHECK(budget_of(daemon.context, service_id("orders")).max_balance < share);
}

// A budget that changed its rule at once would exceed the bound while other daemons keep the earlier one.
TEST_CASE("the rule of the retry budget follows load control, and a change of it keeps both for a while")
{
    counted_daemon daemon;
    daemon.context.settings.load_control = load_control_mode::off;
    const retry_budget& budget = budget_of(daemon.context, service_id("orders"));
    CHECK(budget.rule == retry_rule::balance);
    CHECK(budget.both_until == time_point{0});
    daemon.context.settings.load_control = load_control_mode::on;
    daemon.context.settings.queues_streams = true;
    budget_of(daemon.context, service_id("orders"));
    CHECK(budget.rule == retry_rule::window);
    CHECK(budget.both_until > event_loop::now() + daemon.context.settings.retry_window);
    CHECK(budget_of(daemon.context, service_id("new")).both_until == time_point{0});
}
