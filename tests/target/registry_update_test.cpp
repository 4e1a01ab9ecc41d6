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

unconfirmed_targets doubts_of(const std::string& id)
{
    return {{target_id(id), time_point{1'900}}};
}

std::set<target_id> told(const registry_update& news)
{
    std::set<target_id> ids;
    for (const registered_target& target : news.targets) {
        ids.insert(target.id);
    }
    return ids;
}

} // namespace

TEST_CASE("who asks for the first time is told all targets, and drops what is not among them")
{
    const target_registry registry = registry_of({"a", "b"});
    const registry_update news = updates_since({}, registry, {}, std::nullopt);
    CHECK(news.has_all);
    CHECK(told(news) == ids_of({"a", "b"}));
    CHECK(find_gone(news, registry_of({"a", "c"})) == ids_of({"c"}));
}

TEST_CASE("who asked before is told the changes alone")
{
    registry_log log;
    note_change(log, target_id("a"));
    const std::int64_t asked = log.sequence;
    note_change(log, target_id("b"));
    note_change(log, target_id("c"));
    const registry_update news = updates_since(log, registry_of({"a", "b"}), {}, asked);
    CHECK_FALSE(news.has_all);
    CHECK(told(news) == ids_of({"b"}));
    CHECK(find_gone(news, registry_of({"a", "b", "c"})) == ids_of({"c"}));
    CHECK(news.sequence == log.sequence);
}

// Seen on a day on which the store turned one reader away while a target left: the reader came back, kept the
// target in doubt, and gave it back to daemons that had seen it go.
TEST_CASE("a target in doubt is given to nobody who does not know it, and stays with those who do")
{
    const target_registry registry = registry_of({"a", "vanished"});
    const registry_update news = updates_since({}, registry, doubts_of("vanished"), std::nullopt);
    CHECK(told(news) == ids_of({"a"}));
    CHECK(find_gone(news, registry_of({"a", "vanished"})).empty());
    CHECK(find_gone(news, registry_of({"a"})).empty());
}

TEST_CASE("a target that changed and is now in doubt is not given as registered either")
{
    registry_log log;
    note_change(log, target_id("vanished"));
    const registry_update news = updates_since(log, registry_of({"vanished"}), doubts_of("vanished"), 0);
    CHECK(told(news).empty());
    CHECK(find_gone(news, registry_of({"vanished"})).empty());
}
