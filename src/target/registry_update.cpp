#include "target/registry_update.hpp"

#include "absl/strings/str_cat.h"
#include "common/hash.hpp"

namespace dandelionstep {
namespace {

// A doubtful target is not told as registered: others may have seen it go while this daemon was cut off.
void add_present(registry_update& news, const registered_target& target,
                 const unconfirmed_targets& unconfirmed)
{
    if (unconfirmed.contains(target.id)) {
        news.unconfirmed.push_back(target.id);
    } else {
        news.targets.push_back(target);
    }
}

} // namespace

registry_update updates_since(const registry_log& log, const target_registry& registry,
                              const unconfirmed_targets& unconfirmed, std::optional<std::int64_t> sequence)
{
    registry_update news;
    news.sequence = log.sequence;
    const auto changed = sequence ? changed_since(log, *sequence) : std::nullopt;
    if (!changed) {
        news.has_all = true;
        for (const auto& [id, target] : registry) {
            add_present(news, target, unconfirmed);
        }
        return news;
    }
    for (const target_id& id : *changed) {
        const auto found = registry.find(id);
        if (found == registry.end()) {
            news.gone.push_back(id);
        } else {
            add_present(news, found->second, unconfirmed);
        }
    }
    return news;
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

std::set<target_id> find_gone(const registry_update& news, const target_registry& known)
{
    std::set<target_id> gone(news.gone.begin(), news.gone.end());
    if (!news.has_all) {
        return gone;
    }
    std::set<target_id> named(news.unconfirmed.begin(), news.unconfirmed.end());
    for (const registered_target& target : news.targets) {
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
