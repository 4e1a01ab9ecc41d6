#pragma once

#include "common/change_log.hpp"
#include "common/ids.hpp"
#include "target/target_registry.hpp"
#include "target/unconfirmed_targets.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace dandelionstep {

//! Numbers the changes of the registry of targets.
using registry_log = change_log<target_id>;

//! What a daemon learns of the registry of targets from the one that it follows.
struct registry_update {
    //! Number of the last change that is told.
    std::int64_t sequence = 0;
    //! Whether `targets` and `doubtful` are all there are; else they are the changes.
    bool has_all = false;
    std::vector<registered_target> targets;
    std::vector<target_id> gone;
    //! Targets that vanished around an outage of the store and may come back; who knows them keeps them.
    std::vector<target_id> unconfirmed;
};

//! The news after the change of that number; everything when it isn't given or not remembered any more.
registry_update updates_since(const registry_log& log, const target_registry& registry,
                              const unconfirmed_targets& unconfirmed, std::optional<std::int64_t> sequence);

//! A digest of the registered targets without the doubtful ones: equal where two daemons know the same.
std::uint64_t registry_digest(const target_registry& registry, const unconfirmed_targets& unconfirmed);

//! Known targets that are gone by the news.
std::set<target_id> find_gone(const registry_update& news, const target_registry& known);

} // namespace dandelionstep
