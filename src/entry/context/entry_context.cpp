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

// Requests may take these parts of it, in sixteenths.
constexpr std::size_t request_sixteenths = 5;
constexpr std::size_t sixteenths = 16;

std::size_t memory_of(const entry_settings& settings)
{
    return static_cast<std::size_t>(std::max<std::int64_t>(settings.memory_mb, 1)) * bytes_per_mb;
}

} // namespace

byte_budget answer_budget(const entry_settings& settings)
{
    return {memory_of(settings) / memory_per_answers, 0};
}

byte_budget request_budget(const entry_settings& settings)
{
    return {memory_of(settings) * request_sixteenths / sixteenths, 0};
}

bool entry_context::controls_load() const
{
    switch (this->settings.load_control) {
    case load_control_mode::on:
        return true;
    case load_control_mode::off:
        return false;
    case load_control_mode::automatic:
        break;
    }
    return this->config && this->config->calls_for_load_control;
}

bool entry_context::queues_streams() const
{
    return this->settings.queues_streams && this->controls_load();
}

time_point config_known_at(const entry_context& context, time_point now)
{
    return std::max(context.config_as_of, std::min(now, context.config_watched_until));
}

void know_daemons(entry_context& context, std::int64_t all, std::int64_t in_data_centre)
{
    context.daemons = std::max<std::int64_t>(1, all);
    context.siblings = std::max<std::int64_t>(1, in_data_centre);
    record_daemon_count(context.sharers, context.daemons, event_loop::now(), context.settings.retry_window);
}

std::int64_t retry_sharers(const entry_context& context)
{
    const std::int64_t known =
        std::max(context.daemons, max_recent_daemon_count(context.sharers, event_loop::now()));
    return known + unseen_daemons;
}

retry_budget& budget_of(entry_context& context, const service_id& service)
{
    const entry_settings& settings = context.settings;
    const retry_bounds bounds{settings.retry_ratio * used_share, settings.retry_slack * used_share,
                              retry_sharers(context)};
    const auto [found, is_new] = context.retry_budgets.try_emplace(service, budget_at_start());
    retry_budget& budget = found->second;
    const retry_rule rule = context.queues_streams() ? retry_rule::window : retry_rule::balance;
    if (is_new) {
        budget.rule = rule;
        budget.first_window_until = context.first_window_until;
    }
    set_share(budget, bounds);
    if (event_loop::now() >= context.slack_from) {
        add_slack(budget, bounds);
    }
    set_rule(budget, rule, settings.retry_window, event_loop::now());
    return budget;
}

} // namespace dandelionstep
