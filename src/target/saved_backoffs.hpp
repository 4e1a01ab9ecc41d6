#pragma once

#include "target/target_condition.hpp"
#include "target/target_registry.hpp"

#include <map>
#include <optional>

namespace dandelionstep {

//! Until when a process of a target wants no requests.
struct saved_backoff {
    incarnation started;
    time_point until;
};

//! Rests of targets that are not registered at the moment.
using saved_backoffs = std::map<target_id, saved_backoff>;

//! Keeps the rest of a target that is registered no more, and forgets those that have ended.
void save_backoff(saved_backoffs& rests, const registered_target& target, const target_condition& condition,
                  time_point now);

//! Until when a target that is registered again goes on resting, if it is the same process; it is kept no
//! longer.
std::optional<time_point> take_saved_backoff(saved_backoffs& rests, const registered_target& target);

} // namespace dandelionstep
