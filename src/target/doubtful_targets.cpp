#include "target/doubtful_targets.hpp"

#include <algorithm>

namespace dandelionstep {

store_outage joined_outage(const store_outage& last, const store_outage& next,
                           milliseconds heartbeat_interval)
{
    const bool is_one = next.began - last.ended < heartbeat_interval;
    return {is_one ? std::min(last.began, next.began) : next.began, next.ended};
}

// A registration lapses after three intervals without a heartbeat, of which the first may have begun an
// interval before it was last seen; so two heartbeats in a row were due while the store was away. Heartbeats
// come approximately every interval: the last one before the outage at most one and a half before it.
bool may_have_lapsed(time_point last_seen, milliseconds heartbeat_interval, const store_outage& outage,
                     time_point now)
{
    return outage.ended - outage.began >= heartbeat_interval &&
           outage.ended - last_seen >= heartbeat_interval && now - last_seen >= heartbeat_interval * 2 &&
           now - outage.began >= heartbeat_interval * 3 / 2;
}

std::vector<target_id> find_expired(const unconfirmed_targets& unconfirmed, time_point now)
{
    std::vector<target_id> due;
    for (const auto& [id, until] : unconfirmed) {
        if (now >= until) {
            due.push_back(id);
        }
    }
    return due;
}

std::optional<time_point> first_expiry(const unconfirmed_targets& unconfirmed)
{
    std::optional<time_point> first;
    for (const auto& [id, until] : unconfirmed) {
        first = std::min(first.value_or(until), until);
    }
    return first;
}

} // namespace dandelionstep
