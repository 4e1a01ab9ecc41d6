#pragma once

#include <cstdint>

namespace dandelionstep {

//! Bounds the attempts after the first to a share of the requests, so that failures don't multiply the load.
struct retry_budget {
    //! Retries that each request adds to the budget.
    double retries_per_request = 0.2;
    //! The most that is saved up; what a sudden loss of targets may use at once.
    double max_balance = 100;
    //! Retries that may be made now.
    double balance = 100;
    //! Whether only requests add to the budget yet, and the most that they have saved up meanwhile.
    bool slack_pending = false;
    double peak_balance = 0;
    std::int64_t denied = 0;
};

//! What all daemons together may retry, and how many share it.
struct retry_bounds {
    double ratio = 0.2;
    //! Retries in each window besides those that the requests allow.
    double slack = 100;
    std::int64_t daemons = 1;
};

//! The budget of a process that has just started: what lies in the slack may have been used by the process
//! before it.
retry_budget budget_at_start();

//! Gives the budget its part of what all daemons share.
void set_share(retry_budget& budget, const retry_bounds& bounds);

//! Adds the part of the slack, once; due a window after the start, when a use by an earlier process no longer
//! counts.
void add_slack(retry_budget& budget, const retry_bounds& bounds);

//! Notes a new request.
void note_request(retry_budget& budget);

//! Whether a retry may be made now.
inline bool may_retry(const retry_budget& budget)
{
    return budget.balance >= 1;
}

//! Takes one retry from the budget; false when there is none left, and the request must be given up at once.
bool take_retry(retry_budget& budget);

} // namespace dandelionstep
