#pragma once

#include "target/target_condition.hpp"
#include "target/target_registry.hpp"

#include <map>
#include <optional>

namespace dandelionstep {

//! Until when a process of a target asked for no requests.
struct saved_backoff {
    incarnation started;
    time_point until;
    //! As in the target's condition.
    time_point tried_at{0};
    int trials = 0;
};

//! Backoffs of targets that are not registered at the moment.
using saved_backoffs = std::map<target_id, saved_backoff>;

//! Saves the backoff of a target that is no longer registered, and removes backoffs that have ended.
void save_backoff(saved_backoffs& backoffs, const registered_target& target,
                  const target_condition& condition, time_point now);

//! Removes the saved backoff of a target that has registered again. Returns it if the target is the same
//! process, else nullopt.
std::optional<saved_backoff> take_saved_backoff(saved_backoffs& backoffs, const registered_target& target);

//! Restores a backoff that was saved.
void resume_saved_backoff(target_condition& condition, const saved_backoff& saved);

} // namespace dandelionstep
