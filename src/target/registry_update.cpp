#include "target/registry_update.hpp"

#include "absl/strings/str_cat.h"
#include "common/hash.hpp"

namespace dandelionstep {
namespace {

// An unconfirmed target is not reported as registered: other daemons may have seen it leave while this one
// was cut off from the store.
void add_present(registry_update& update, const registered_target& target,
                 const unconfirmed_targets& unconfirmed)
{
    if (unconfirmed.contains(target.id)) {
        update.unconfirmed.push_back(target.id);
    } else {
        update.targets.push_back(target);
    }
}

} // namespace

registry_update updates_since(const registry_log& log, const target_registry& registry,
                              const unconfirmed_targets& unconfirmed, std::optional<std::int64_t> sequence)
{
    registry_update update;
    update.sequence = log.sequence;
    const auto changed = sequence ? changed_since(log, *sequence) : std::nullopt;
    if (!changed) {
        update.has_all = true;
        for (const auto& [id, target] : registry) {
            add_present(update, target, unconfirmed);
        }
        return update;
    }
    for (const target_id& id : *changed) {
        const auto found = registry.find(id);
        if (found == registry.end()) {
            update.gone.push_back(id);
        } else {
            add_present(update, found->second, unconfirmed);
        }
    }
    return update;
}

std::uint64_t registry_digest(const target_registry& registry, const unconfirmed_targets& unconfirmed)
{
    std::uint64_t digest = 0;
    for (const auto& [id, target] : registry) {
        if (!unconfirmed.contains(id)) {
            digest = hash_of(absl::StrCat(id.value, " ", target.service.value, " ", to_string(target.address),
                                          " ", target.data_centre.value, " ", target.slots, " ",
                                          target.leaving ? 1 : 0, " ", target.kind, " ", target.layers.begin,
                                          " ", target.layers.end, " ", target.started.value),
                             digest);
        }
    }
    return digest;
}

std::set<target_id> find_gone(const registry_update& update, const target_registry& known)
{
    std::set<target_id> gone(update.gone.begin(), update.gone.end());
    if (!update.has_all) {
        return gone;
    }
    std::set<target_id> named(update.unconfirmed.begin(), update.unconfirmed.end());
    for (const registered_target& target : update.targets) {
        named.insert(target.id);
    }
    for (const auto& [id, target] : known) {
        if (!named.contains(id)) {
            gone.insert(id);
        }
    }
    return gone;
}

} // namespace dandelionstep
