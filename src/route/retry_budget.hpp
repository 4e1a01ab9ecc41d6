#pragma once

#include <cstdint>

namespace dandelionstep {

//! Bounds the attempts after the first to a share of the requests, so that failures don't multiply the load.
struct retry_budget {
    //! Retries that each request adds to the budget.
    double retries_per_request = 0.2;
    //! The most that is saved up; what a sudden loss of targets may use at once.
    double most_saved = 100;
    //! Retries that may be made now.
    double saved = 100;
    std::int64_t denied = 0;
};

//! Notes a new request.
void note_request(retry_budget& budget);

//! Whether a retry may be made now.
inline bool may_retry(const retry_budget& budget)
{
    return budget.saved >= 1;
}

//! Takes one retry from the budget; false when there is none left, and the request must be given up at once.
bool take_retry(retry_budget& budget);

} // namespace dandelionstep
