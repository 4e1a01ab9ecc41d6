#pragma once

#include "common/clock.hpp"
#include "common/ids.hpp"
#include "target/target_registry.hpp"

#include <map>
#include <vector>

namespace dandelionstep {

//! Which engines have registered, and whether more are about to: a plan that is made in the middle of a wave
//! of registrations does not fit the engines that come after it. Answers two loads: all engines that start
//! together, and releases in which engines come one after the other while callers wait for the layers of
//! those that go.
struct engine_arrivals {
    std::map<target_id, incarnation> known;
    //! When the last one registered that others are expected to follow.
    time_point settling_since{0};
};

//! Compares the registered engines with those that were known. `is_serving`: whether callers are served.
void note_engines(engine_arrivals& arrivals, const target_registry& registry, bool is_serving,
                  time_point now);

//! Whether no wave of registrations is under way.
bool has_settled(const engine_arrivals& arrivals, time_point now);

//! Whether at least half of the engines have no layers, so that the plan for the others, made when they were
//! few, is better made anew than completed.
bool needs_full_replan(const std::vector<registered_target>& engines);

} // namespace dandelionstep
