#include "organisation/fair_share.hpp"

#include <algorithm>
#include <cmath>

namespace dandelionstep {
namespace {

// Half-life of the counts; long enough to tell apart organisations that send a few requests per second.
constexpr double half_life_ms = 2'000;
// The common limit changes at most once per interval: sending fewer requests frees capacity only as answers
// end.
constexpr milliseconds step_interval{200};
// Fractions by which one step lowers or raises the common limit.
constexpr double decrease = 0.2;
constexpr double increase = 0.015;
// Without an overload for `calm_after`, the limit rises faster.
constexpr milliseconds calm_after{1'000};
constexpr double calm_increase = 0.3;
// The limit starts above the largest demand by this factor, so that a single refused request limits no one.
constexpr double initial_limit_factor = 1.5;
// The limit is ignored when the last overload is longer ago, as it no longer fits the load.
constexpr milliseconds limit_validity{10'000};
// The limit is lowered only if a request was accepted within this time: while no request is accepted at all,
// there is no capacity to divide.
constexpr milliseconds accepted_validity{500};
// Fraction of its requests that each organisation may send in any case, so that none is shut out.
constexpr double min_admitted_fraction = 0.1;
// Counts below this are removed.
constexpr double negligible = 1e-3;
constexpr milliseconds prune_interval{1'000};

double value_of(const decaying_count& count, time_point now)
{
    const auto age = static_cast<double>(std::max<std::int64_t>(0, (now - count.at).count));
    return count.value * std::exp2(-age / half_life_ms);
}

void count_one(decaying_count& count, time_point now)
{
    count.value = value_of(count, now) + 1;
    count.at = now;
}

// An equal part of the accepted requests; no organisation is limited to less.
double equal_part(const fair_share& share, time_point now)
{
    const auto organisations = static_cast<double>(std::max<std::size_t>(1, share.requests.size()));
    return value_of(share.accepted, now) / organisations;
}

double largest_demand(const fair_share& share, time_point now)
{
    double largest = 0;
    for (const auto& [organisation, count] : share.requests) {
        largest = std::max(largest, value_of(count, now));
    }
    return largest;
}

bool is_step_due(const fair_share& share, time_point since, time_point now)
{
    return now - std::max(share.common_limit_changed_at, since) >= step_interval;
}

} // namespace

void note_organisation_request(fair_share& share, const organisation_id& organisation, time_point now)
{
    count_one(share.requests[organisation], now);
    if (now - share.pruned_at >= prune_interval) {
        share.pruned_at = now;
        std::erase_if(share.requests,
                      [now](const auto& entry) { return value_of(entry.second, now) < negligible; });
    }
}

void note_accepted(fair_share& share, time_point now)
{
    count_one(share.accepted, now);
    if (share.common_limit <= 0 || !is_step_due(share, share.overloaded_at, now)) {
        return;
    }
    share.common_limit *= 1 + (now - share.overloaded_at >= calm_after ? calm_increase : increase);
    share.common_limit_changed_at = now;
    share.common_limit =
        share.common_limit > initial_limit_factor * largest_demand(share, now) ? 0 : share.common_limit;
}

void note_overload(fair_share& share, time_point now)
{
    const bool has_limit = share.common_limit > 0 && now - share.overloaded_at < limit_validity;
    share.overloaded_at = now;
    if (!has_limit) {
        share.common_limit = initial_limit_factor * largest_demand(share, now);
        share.common_limit_changed_at = now;
    } else if (now - share.accepted.at < accepted_validity &&
               is_step_due(share, share.common_limit_changed_at, now)) {
        share.common_limit = std::max(share.common_limit * (1 - decrease), equal_part(share, now));
        share.common_limit_changed_at = now;
    }
}

double admitted_fraction(const fair_share& share, const organisation_id& organisation, time_point now)
{
    const auto own = share.requests.find(organisation);
    const bool is_alone = share.requests.size() < 2;
    const bool has_limit = share.common_limit > 0 && now - share.overloaded_at < limit_validity;
    if (own == share.requests.end() || is_alone || !has_limit) {
        return 1;
    }
    return std::clamp(share.common_limit / value_of(own->second, now), min_admitted_fraction, 1.0);
}

} // namespace dandelionstep
