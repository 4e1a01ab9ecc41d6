#include "organisation/fair_share.hpp"

#include <algorithm>
#include <cmath>

namespace dandelionstep {
namespace {

// Long enough to tell organisations apart that ask a few times a second.
constexpr double half_life_ms = 2'000;
// The level changes by one step at a time: what is sent less frees room only as answers end.
constexpr milliseconds step_interval{200};
constexpr double cut = 0.2;
constexpr double gain = 0.015;
// The same once every request has found room for a while.
constexpr milliseconds calm_after{1'000};
constexpr double calm_gain = 0.3;
// The level begins above what anybody asks for, so that a single request without room holds nobody back.
constexpr double first_level = 1.5;
// The level says nothing of now when no request has lacked room for so long.
constexpr milliseconds level_validity{10'000};
// While nothing at all finds room there is nothing to share.
constexpr milliseconds room_validity{500};
// Everybody may try now and then.
constexpr double least_part = 0.1;
constexpr double negligible = 1e-3;
constexpr milliseconds clear_interval{1'000};

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

// Nobody is held below an even part of what finds room.
double even_part(const fair_share& share, time_point now)
{
    const auto organisations = static_cast<double>(std::max<std::size_t>(1, share.requests.size()));
    return value_of(share.accepted, now) / organisations;
}

double largest_asked(const fair_share& share, time_point now)
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
    if (now - share.pruned_at >= clear_interval) {
        share.pruned_at = now;
        std::erase_if(share.requests,
                      [now](const auto& one) { return value_of(one.second, now) < negligible; });
    }
}

void note_accepted(fair_share& share, time_point now)
{
    count_one(share.accepted, now);
    if (share.common_limit <= 0 || !is_step_due(share, share.overloaded_at, now)) {
        return;
    }
    share.common_limit *= 1 + (now - share.overloaded_at >= calm_after ? calm_gain : gain);
    share.common_limit_changed_at = now;
    share.common_limit =
        share.common_limit > first_level * largest_asked(share, now) ? 0 : share.common_limit;
}

void note_overload(fair_share& share, time_point now)
{
    const bool has_level = share.common_limit > 0 && now - share.overloaded_at < level_validity;
    share.overloaded_at = now;
    if (!has_level) {
        share.common_limit = first_level * largest_asked(share, now);
        share.common_limit_changed_at = now;
    } else if (now - share.accepted.at < room_validity &&
               is_step_due(share, share.common_limit_changed_at, now)) {
        share.common_limit = std::max(share.common_limit * (1 - cut), even_part(share, now));
        share.common_limit_changed_at = now;
    }
}

double admitted_fraction(const fair_share& share, const organisation_id& organisation, time_point now)
{
    const auto own = share.requests.find(organisation);
    const bool is_alone = share.requests.size() < 2;
    const bool has_level = share.common_limit > 0 && now - share.overloaded_at < level_validity;
    if (own == share.requests.end() || is_alone || !has_level) {
        return 1;
    }
    return std::clamp(share.common_limit / value_of(own->second, now), least_part, 1.0);
}

} // namespace dandelionstep
