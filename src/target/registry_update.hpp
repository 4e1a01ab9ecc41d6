#pragma once

#include "common/change_log.hpp"
#include "common/ids.hpp"
#include "target/doubtful_targets.hpp"
#include "target/target_registry.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace dandelionstep {

//! The numbered changes of the registry of targets.
using registry_log = change_log<target_id>;

//! Changes of the registry of targets that a daemon gets from the daemon that it follows.
struct registry_update {
    //! Number of the last change in the update.
    std::int64_t sequence = 0;
    //! Whether `targets` and `unconfirmed` are the whole registry; otherwise they are what changed in it.
    bool has_all = false;
    std::vector<registered_target> targets;
    std::vector<target_id> gone;
    //! Targets that vanished around an outage of the store and may come back: daemons that know them keep
    //! them, and the others don't learn of them.
    std::vector<target_id> unconfirmed;
};

//! The changes after number `sequence`; the whole registry when that is not given or no longer in the log.
registry_update updates_since(const registry_log& log, const target_registry& registry,
                              const unconfirmed_targets& unconfirmed, std::optional<std::int64_t> sequence);

//! A digest of the registered targets without the unconfirmed ones; equal when two daemons know the same
//! targets.
std::uint64_t registry_digest(const target_registry& registry, const unconfirmed_targets& unconfirmed);

//! The targets of `known` that are gone according to the update.
std::set<target_id> find_gone(const registry_update& update, const target_registry& known);

} // namespace dandelionstep
