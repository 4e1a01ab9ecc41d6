#pragma once

#include "common/clock.hpp"
#include "route/retry_counts.hpp"

#include <cstdint>

namespace dandelionstep {

//! What bounds the retries of a daemon.
enum class retry_rule : std::uint8_t {
    balance, //!< Requests add to a balance that is capped at this daemon's share of the slack.
    window,  //!< The requests of a window allow retries in the next one, all at once if need be.
};

//! Limits retries to a share of the requests, so that failures don't multiply the load.
struct retry_budget {
    //! Retries that each request adds to the balance.
    double retries_per_request = 0.2;
    //! Upper limit of the balance: the retries that a sudden loss of targets may cause at once.
    double max_balance = 100;
    //! Retries that may be made now.
    double balance = 100;
    //! Whether the slack is still to be added, and the highest balance that requests alone have reached so
    //! far.
    bool slack_pending = false;
    double peak_balance = 0;
    std::int64_t denied = 0;
    //! This daemon's share of the slack, and the requests and retries of the last windows.
    double slack_share = 100;
    retry_counts counts{};
    retry_rule rule = retry_rule::balance;
    //! Until when retries have to keep both rules, after a change from one to the other.
    time_point both_until{0};
    //! Windows that began earlier are bounded by their own requests also under the window's rule.
    time_point first_window_until{0};
};

//! Limits on the retries of all daemons together, and the number of daemons that share them.
struct retry_bounds {
    double ratio = 0.2;
    //! Retries in each window in addition to `ratio` for each request.
    double slack = 100;
    std::int64_t daemons = 1;
};

//! The budget of a process that has just started. It lacks the slack, which an earlier process on this VM may
//! have used up within the same window.
retry_budget budget_at_start();

//! Sets the budget's limits to this daemon's share of the bounds.
void set_share(retry_budget& budget, const retry_bounds& bounds);

//! Adds this daemon's share of the slack, once. To be called one window after the start, when retries of an
//! earlier process no longer count.
void add_slack(retry_budget& budget, const retry_bounds& bounds);

//! Sets the rule that bounds the retries. Daemons change it up to a few windows apart, so both rules apply
//! for a while after a change; not in a budget that has not been used yet.
void set_rule(retry_budget& budget, retry_rule rule, milliseconds window, time_point now);

//! How many retries may be made now, under the rule in force; negative where that is overdrawn.
double retries_allowed(const retry_budget& budget, time_point now);

//! Counts a new request, and adds its share of retries to the balance.
void note_request(retry_budget& budget, time_point now);

//! Takes one retry from the budget, under the rule in force. Returns false if none is left; the request must
//! then fail at once.
bool take_retry(retry_budget& budget, time_point now);

//! Whether a retry may be made now. This and the functions below follow the rule of the balance alone.
inline bool may_retry(const retry_budget& budget)
{
    return budget.balance >= 1;
}

//! Adds a new request's share of retries to the balance.
void note_request(retry_budget& budget);

//! Takes one retry from the budget. Returns false if none is left; the request must then fail at once.
bool take_retry(retry_budget& budget);

} // namespace dandelionstep
