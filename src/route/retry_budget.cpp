#include "route/retry_budget.hpp"

#include <algorithm>

namespace dandelionstep {

void note_request(retry_budget& budget)
{
    budget.saved = std::min(budget.saved + budget.retries_per_request, budget.most_saved);
}

bool take_retry(retry_budget& budget)
{
    if (!may_retry(budget)) {
        ++budget.denied;
        return false;
    }
    budget.saved -= 1;
    return true;
}

} // namespace dandelionstep
