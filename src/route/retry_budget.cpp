#include "route/retry_budget.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

double share_of_slack(const retry_bounds& bounds)
{
    return bounds.slack / static_cast<double>(std::max<std::int64_t>(1, bounds.daemons));
}

// Windows after a change of the rule in which both apply. The configuration that changes it reaches the
// daemons within seconds; one that is cut off from the store learns of it later.
constexpr std::int64_t windows_with_both = 4;

window_allowance allowance_of(const retry_budget& budget)
{
    return {budget.retries_per_request, budget.slack_pending ? 0 : budget.slack_share};
}

double room_by_window(const retry_budget& budget, time_point now)
{
    return room_after_window_before(budget.counts, allowance_of(budget), budget.first_window_until, now);
}

} // namespace

retry_budget budget_at_start()
{
    retry_budget budget;
    budget.balance = 0;
    budget.slack_pending = true;
    return budget;
}

void set_share(retry_budget& budget, const retry_bounds& bounds)
{
    budget.retries_per_request = bounds.ratio;
    budget.slack_share = share_of_slack(bounds);
    // With an upper limit below 1, the balance would never allow a retry.
    budget.max_balance = std::max(1.0, budget.slack_share);
    budget.balance = std::min(budget.balance, budget.max_balance);
}

// Retries that requests added before the slack may have been used within the same window, so the highest
// balance that they reached is deducted from the slack.
void add_slack(retry_budget& budget, const retry_bounds& bounds)
{
    if (!budget.slack_pending) {
        return;
    }
    budget.slack_pending = false;
    const double added = std::max(0.0, share_of_slack(bounds) - budget.peak_balance);
    budget.balance = std::min(budget.balance + added, budget.max_balance);
}

void set_rule(retry_budget& budget, retry_rule rule, milliseconds window, time_point now)
{
    set_window(budget.counts, window, now);
    if (rule == budget.rule) {
        return;
    }
    budget.rule = rule;
    budget.both_until = now + window * windows_with_both;
}

double retries_allowed(const retry_budget& budget, time_point now)
{
    const bool both = now < budget.both_until;
    if (budget.rule == retry_rule::balance) {
        return both ? std::min(budget.balance, room_by_window(budget, now)) : budget.balance;
    }
    const double room = room_by_window(budget, now);
    return both ? std::min(room, room_within_window(budget.counts, allowance_of(budget), now)) : room;
}

void note_request(retry_budget& budget, time_point now)
{
    count_request(budget.counts, now);
    note_request(budget);
}

bool take_retry(retry_budget& budget, time_point now)
{
    if (retries_allowed(budget, now) < 1) {
        ++budget.denied;
        return false;
    }
    count_retry(budget.counts, now);
    if (budget.rule == retry_rule::balance) {
        budget.balance -= 1;
    }
    return true;
}

void note_request(retry_budget& budget)
{
    budget.balance = std::min(budget.balance + budget.retries_per_request, budget.max_balance);
    budget.peak_balance = std::max(budget.peak_balance, budget.balance);
}

bool take_retry(retry_budget& budget)
{
    if (!may_retry(budget)) {
        ++budget.denied;
        return false;
    }
    budget.balance -= 1;
    return true;
}

} // namespace dandelionstep
