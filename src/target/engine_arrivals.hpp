#pragma once

#include "common/clock.hpp"
#include "common/ids.hpp"
#include "target/target_registry.hpp"

#include <map>
#include <vector>

namespace dandelionstep {

//! Tracks which engines have registered and whether more are expected soon: a placement that is planned in
//! the middle of a wave of registrations does not fit the engines that register after it. Covers two cases:
//! all engines start together, and a rolling release replaces one engine after the other, when callers wait
//! for the layers of the engines that leave and the plan must not wait for the last new engine.
struct engine_arrivals {
    //! The engines of the last call of `note_engines`.
    std::map<target_id, incarnation> known;
    //! When an engine last registered after which others are expected.
    time_point settling_since{0};
};

//! Compares the registered engines with the known ones. `is_serving`: whether callers are being served.
void note_engines(engine_arrivals& arrivals, const target_registry& registry, bool is_serving,
                  time_point now);

//! Whether no wave of registrations is in progress, so that a plan may be made.
bool has_settled(const engine_arrivals& arrivals, time_point now);

//! Whether at least half of the engines hold no layers. The plan for the others was then made for few
//! engines, and it is better to plan for all of them again than to complete it.
bool needs_full_replan(const std::vector<registered_target>& engines);

} // namespace dandelionstep
