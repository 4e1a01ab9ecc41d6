#include "entry/context/entry_context.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

// Daemons that may have been added and are not known yet.
constexpr std::int64_t unseen_daemons = 1;
// Part of the allowance that is used, as the platform counts in windows of its own.
constexpr double used_share = 0.9;
constexpr std::size_t bytes_per_mb = std::size_t{1024} * 1024;
// Of the vm's memory answers may take one part in so many.
constexpr std::size_t memory_per_answers = 4;

} // namespace

byte_budget answer_budget(const entry_settings& settings)
{
    const auto memory_mb = static_cast<std::size_t>(std::max<std::int64_t>(settings.memory_mb, 1));
    return {memory_mb * bytes_per_mb / memory_per_answers, 0};
}

time_point config_known_at(const entry_context& context, time_point now)
{
    return std::max(context.config_as_of, std::min(now, context.config_watched_until));
}

retry_budget& budget_of(entry_context& context, const service_id& service)
{
    const auto [found, is_new] = context.retry_budgets.try_emplace(service);
    const std::int64_t sharers = context.daemons + unseen_daemons;
    retry_budget& budget = found->second;
    budget.retries_per_request = context.settings.retry_ratio * used_share;
    budget.most_saved =
        std::max(1.0, context.settings.retry_slack * used_share / static_cast<double>(sharers));
    budget.saved = is_new ? budget.most_saved : std::min(budget.saved, budget.most_saved);
    return budget;
}

} // namespace dandelionstep
