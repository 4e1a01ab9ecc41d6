#include "common/change_log.hpp"
#include "common/ids.hpp"

#include <doctest/doctest.h>
#include <string>

using namespace dandelionstep;

TEST_CASE("a follower is told of each target that changed since it last asked, once")
{
    change_log<target_id> log;
    note_change(log, target_id("a"));
    note_change(log, target_id("b"));
    const std::int64_t asked = log.sequence;
    note_change(log, target_id("b"));
    note_change(log, target_id("c"));
    note_change(log, target_id("c"));
    CHECK(changed_since(log, asked) == std::set<target_id>{target_id("b"), target_id("c")});
    CHECK(changed_since(log, log.sequence)->empty());
    CHECK(changed_since(log, 0)->size() == 3);
}

TEST_CASE("a number that was never given, or is long past, is answered with everything")
{
    change_log<target_id> log;
    CHECK(changed_since(log, 0)->empty());
    CHECK_FALSE(changed_since(log, 1));
    for (int i = 0; i < 5'000; ++i) {
        note_change(log, target_id(std::to_string(i)));
    }
    CHECK_FALSE(changed_since(log, 10));
    CHECK_FALSE(remembers(log, 10));
    CHECK(remembers(log, log.sequence - 10));
    CHECK_FALSE(changed_since(log, log.sequence + 1));
    CHECK(changed_since(log, log.sequence - 10)->size() == 10);
    CHECK(log.changes.size() <= 1'000);
}
