#include "route/retry_budget.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

double share_of_slack(const retry_bounds& bounds)
{
    return bounds.slack / static_cast<double>(std::max<std::int64_t>(1, bounds.daemons));
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
    // With an upper limit below 1, the balance would never allow a retry.
    budget.max_balance = std::max(1.0, share_of_slack(bounds));
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
