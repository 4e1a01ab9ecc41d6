#include "target/registry_update.hpp"

#include <doctest/doctest.h>
#include <string>

using namespace dandelionstep;

namespace {

registered_target target_of(const std::string& id)
{
    registered_target target;
    target.id = target_id(id);
    return target;
}

target_registry registry_of(const std::vector<std::string>& ids)
{
    target_registry registry;
    for (const std::string& id : ids) {
        registry[target_id(id)] = target_of(id);
    }
    return registry;
}

std::set<target_id> ids_of(const std::vector<std::string>& ids)
{
    std::set<target_id> result;
    for (const std::string& id : ids) {
        result.insert(target_id(id));
    }
    return result;
}

unconfirmed_targets unconfirmed_of(const std::string& id)
{
    return {{target_id(id), time_point{1'900}}};
}

std::set<target_id> target_ids_of(const registry_update& update)
{
    std::set<target_id> ids;
    for (const registered_target& target : update.targets) {
        ids.insert(target.id);
    }
    return ids;
}

} // namespace

TEST_CASE("a daemon that asks for the first time gets all targets, and drops those that are not among them")
{
    const target_registry registry = registry_of({"a", "b"});
    const registry_update update = updates_since({}, registry, {}, std::nullopt);
    CHECK(update.has_all);
    CHECK(target_ids_of(update) == ids_of({"a", "b"}));
    CHECK(find_gone(update, registry_of({"a", "c"})) == ids_of({"c"}));
}

TEST_CASE("a daemon that asked before gets only the changes")
{
    registry_log log;
    note_change(log, target_id("a"));
    const std::int64_t asked = log.sequence;
    note_change(log, target_id("b"));
    note_change(log, target_id("c"));
    const registry_update update = updates_since(log, registry_of({"a", "b"}), {}, asked);
    CHECK_FALSE(update.has_all);
    CHECK(target_ids_of(update) == ids_of({"b"}));
    CHECK(find_gone(update, registry_of({"a", "b", "c"})) == ids_of({"c"}));
    CHECK(update.sequence == log.sequence);
}

// The store refused one reader while a target left. The reader came back, kept the target as unconfirmed, and
// gave it back to daemons that had seen it leave.
TEST_CASE("an unconfirmed target is not given to daemons that do not know it, and stays with those that do")
{
    const target_registry registry = registry_of({"a", "vanished"});
    const registry_update update = updates_since({}, registry, unconfirmed_of("vanished"), std::nullopt);
    CHECK(target_ids_of(update) == ids_of({"a"}));
    CHECK(find_gone(update, registry_of({"a", "vanished"})).empty());
    CHECK(find_gone(update, registry_of({"a"})).empty());
}

TEST_CASE("a target that changed and is now unconfirmed is not given as registered either")
{
    registry_log log;
    note_change(log, target_id("vanished"));
    const registry_update update =
        updates_since(log, registry_of({"vanished"}), unconfirmed_of("vanished"), 0);
    CHECK(target_ids_of(update).empty());
    CHECK(find_gone(update, registry_of({"vanished"})).empty());
}
