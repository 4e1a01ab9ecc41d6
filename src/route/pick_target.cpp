#include "route/pick_target.hpp"

#include <algorithm>
#include <vector>

namespace dandelionstep {
namespace {

// Stands for the response time of a service that has not answered yet.
constexpr double unknown_response_ms = 20;
// What a failure costs the caller, against waiting for a response.
constexpr double failure_cost_ms = 500;
// A reported load older than this says nothing.
constexpr milliseconds load_age_limit{1000};
// Preference for the caller's own data centre: a cut between data centres then breaks fewer requests.
constexpr double other_centre_cost_ms = 10;
// Targets within this factor of the best share the requests.
constexpr double near_best = 1.25;

struct scored_target {
    const registered_target* target = nullptr;
    double cost = 0;
};

// What the fastest of the service takes. A target that has not answered yet, or only long ago, is expected to
// be like it, so that it is tried.
double usual_response_ms(const service_id& service, const target_registry& registry,
                         const target_conditions& conditions)
{
    std::optional<double> least;
    for (const auto& [id, target] : registry) {
        const double response = target.service == service ? condition_of(conditions, id).response_ms : 0;
        if (response > 0) {
            least = std::min(least.value_or(response), response);
        }
    }
    return least.value_or(unknown_response_ms);
}

double expected_cost(const registered_target& target, const target_condition& condition,
                     const target_query& query, double usual_ms)
{
    const double response = present_response_ms(condition, usual_ms, query.now);
    const bool is_fresh = query.now - condition.load_reported_at < load_age_limit;
    const std::int64_t load =
        std::max(condition.in_flight, is_fresh ? condition.reported_load : std::int64_t{0});
    const auto slots = static_cast<double>(std::max<std::int64_t>(1, target.slots));
    double cost = response * (1 + static_cast<double>(load) / slots);
    cost += failure_cost_ms * present_failure_share(condition, query.now);
    if (target.data_centre != query.entry) {
        cost += other_centre_cost_ms;
    }
    return cost;
}

} // namespace

const registered_target* pick_target(const target_query& query, const target_registry& registry,
                                     const target_conditions& conditions)
{
    const double usual_ms = usual_response_ms(query.service, registry, conditions);
    std::vector<scored_target> usable;
    std::vector<scored_target> last_resort;
    for (const auto& [id, target] : registry) {
        if (target.service != query.service || target.leaving || query.excluded.contains(id)) {
            continue;
        }
        const target_condition& condition = condition_of(conditions, id);
        if (is_on_trial(condition, query.now) || is_resting(condition, query.now)) {
            continue;
        }
        const bool is_good = is_usable(condition, query.now) && has_returned(condition, condition.in_flight);
        const scored_target scored{&target, expected_cost(target, condition, query, usual_ms)};
        (is_good ? usable : last_resort).push_back(scored);
    }
    std::vector<scored_target>& candidates = usable.empty() ? last_resort : usable;
    if (candidates.empty()) {
        return nullptr;
    }
    const double best = std::ranges::min_element(candidates, {}, &scored_target::cost)->cost;
    std::erase_if(candidates, [best](const scored_target& one) { return one.cost > best * near_best; });
    const auto index = static_cast<std::size_t>(query.draw * static_cast<double>(candidates.size()));
    return candidates[std::min(index, candidates.size() - 1)].target;
}

std::optional<time_point> first_backoff_end(const service_id& service, const target_registry& registry,
                                            const target_conditions& conditions, time_point now)
{
    std::optional<time_point> first;
    for (const auto& [id, target] : registry) {
        const target_condition& condition = condition_of(conditions, id);
        if (target.service == service && !target.leaving && is_resting(condition, now)) {
            first = std::min(first.value_or(condition.rests_until), condition.rests_until);
        }
    }
    return first;
}

} // namespace dandelionstep
