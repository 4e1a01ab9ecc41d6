#pragma once

#include "common/clock.hpp"
#include "common/ids.hpp"

#include <map>
#include <optional>
#include <vector>

namespace dandelionstep {

//! Targets that vanished from the registry around an outage of the store, by the time until which each is
//! kept although its registration is not confirmed.
using unconfirmed_targets = std::map<target_id, time_point>;

//! A span in which the store is not known to have answered any call; both 0 when there was none.
struct store_outage {
    time_point began{0};
    time_point ended{0};
};

//! The outage that counts after `next`: with too little time for a heartbeat between them they are one.
store_outage joined_outage(const store_outage& last, const store_outage& next,
                           milliseconds heartbeat_interval);

//! Whether a registration that is missing at `now` may have lapsed because of the outage, rather than been
//! removed. `last_seen` is when its last heartbeat was seen, or the registration itself.
bool may_have_lapsed(time_point last_seen, milliseconds heartbeat_interval, const store_outage& outage,
                     time_point now);

//! Targets that are not to be kept any longer at `now`.
std::vector<target_id> find_expired(const unconfirmed_targets& unconfirmed, time_point now);

//! When the first of the targets expires; nullopt when there are none.
std::optional<time_point> first_expiry(const unconfirmed_targets& unconfirmed);

} // namespace dandelionstep
