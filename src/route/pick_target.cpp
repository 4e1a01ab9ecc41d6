#include "route/pick_target.hpp"

#include <algorithm>
#include <vector>

namespace dandelionstep {
namespace {

// Assumed response time of a service that has not answered yet.
constexpr double default_response_ms = 20;
// Cost of a failure for the caller, in waiting time.
constexpr double failure_cost_ms = 500;
// Reported loads older than this are ignored.
constexpr milliseconds load_age_limit{1000};
// Targets in the caller's own data centre are preferred, as a network cut between data centres then breaks
// fewer requests.
constexpr double other_centre_cost_ms = 10;
// Requests are spread over the targets that cost at most this many times as much as the cheapest one.
constexpr double near_best_factor = 1.25;

// Calls are taken to last at most so many times as long as those of the fastest target, as what was learned
// of their route may be far too high.
constexpr double most_call_factor = 4;

struct scored_target {
    const registered_target* target = nullptr;
    double cost = 0;
};

// Response time of the service's fastest target. A target that has never answered, or not for a long time, is
// expected to be as fast, so that it is tried.
double fastest_response_ms(const service_id& service, const target_registry& registry,
                           const target_conditions& conditions)
{
    std::optional<double> least;
    for (const auto& [id, target] : registry) {
        const double response = target.service == service ? condition_of(conditions, id).mean_response_ms : 0;
        if (response > 0) {
            least = std::min(least.value_or(response), response);
        }
    }
    return least.value_or(default_response_ms);
}

// Work of this daemon's own running calls that is still to be done.
double own_work_ms(const target_condition& condition, double fastest_ms, time_point now)
{
    const double most = most_call_factor * fastest_ms * static_cast<double>(condition.calls.size());
    return std::min(remaining_ms(condition.calls, now), most);
}

double expected_cost(const registered_target& target, const target_condition& condition,
                     const target_query& query, double fastest_ms)
{
    const double response = expected_response_ms(condition, fastest_ms, query.now);
    const bool is_fresh = query.now - condition.load_reported_at < load_age_limit;
    const std::int64_t load =
        std::max(condition.in_flight, is_fresh ? condition.reported_load : std::int64_t{0});
    const auto slots = static_cast<double>(std::max<std::int64_t>(1, target.slots));
    double cost = response * (1 + static_cast<double>(load) / slots);
    if (query.counts_work) {
        cost += own_work_ms(condition, fastest_ms, query.now) / slots;
    }
    cost += failure_cost_ms * current_failure_rate(condition, query.now);
    if (target.data_centre != query.entry) {
        cost += other_centre_cost_ms;
    }
    return cost;
}

// Whether each target of the service that does not leave is in backoff or can't be reached.
bool is_none_left(const target_query& query, const target_registry& registry,
                  const target_conditions& conditions)
{
    return std::ranges::all_of(registry, [&](const auto& entry) {
        const registered_target& target = entry.second;
        return target.service != query.service || target.leaving ||
               is_backing_off(condition_of(conditions, entry.first), query.now) ||
               is_in_half_open_trial(condition_of(conditions, entry.first), query.now);
    });
}

} // namespace

const registered_target* pick_target(const target_query& query, const target_registry& registry,
                                     const target_conditions& conditions)
{
    const double fastest_ms = fastest_response_ms(query.service, registry, conditions);
    std::vector<scored_target> usable;
    std::vector<scored_target> last_resort;
    std::vector<scored_target> backoff_trials;
    for (const auto& [id, target] : registry) {
        if (target.service != query.service || target.leaving || query.excluded.contains(id)) {
            continue;
        }
        const target_condition& condition = condition_of(conditions, id);
        if (is_in_half_open_trial(condition, query.now)) {
            continue;
        }
        if (is_backing_off(condition, query.now)) {
            if (query.now >= backoff_chance(condition)) {
                backoff_trials.push_back({&target, expected_cost(target, condition, query, fastest_ms)});
            }
            continue;
        }
        const bool is_good =
            is_usable(condition, query.now) && is_below_slow_start_limit(condition, condition.in_flight);
        const scored_target scored{&target, expected_cost(target, condition, query, fastest_ms)};
        (is_good ? usable : last_resort).push_back(scored);
    }
    if (usable.empty() && last_resort.empty() && is_none_left(query, registry, conditions)) {
        last_resort = std::move(backoff_trials);
    }
    std::vector<scored_target>& candidates = usable.empty() ? last_resort : usable;
    if (candidates.empty()) {
        return nullptr;
    }
    const double best = std::ranges::min_element(candidates, {}, &scored_target::cost)->cost;
    std::erase_if(candidates,
                  [best](const scored_target& one) { return one.cost > best * near_best_factor; });
    const auto index = static_cast<std::size_t>(query.draw * static_cast<double>(candidates.size()));
    return candidates[std::min(index, candidates.size() - 1)].target;
}

std::optional<time_point> first_backoff_end(const service_id& service, const target_registry& registry,
                                            const target_conditions& conditions, time_point now)
{
    std::optional<time_point> first;
    for (const auto& [id, target] : registry) {
        const target_condition& condition = condition_of(conditions, id);
        if (target.service == service && !target.leaving && is_backing_off(condition, now)) {
            const time_point chance = backoff_chance(condition);
            first = std::min(first.value_or(chance), chance);
        }
    }
    return first;
}

} // namespace dandelionstep
