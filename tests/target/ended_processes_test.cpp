#include "target/ended_processes.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;

namespace {

constexpr time_point start{1'000'000};
constexpr incarnation first{10};
constexpr incarnation second{20};
const target_id engine("e");

} // namespace

TEST_CASE("a process that was found ended is known once, and for as long as its registration may last")
{
    ended_processes ended;
    CHECK_FALSE(has_ended(ended, engine, first, start));
    CHECK(note_ended(ended, engine, first, start, start));
    CHECK_FALSE(note_ended(ended, engine, first, start, start));
    CHECK(has_ended(ended, engine, first, start));
    CHECK_FALSE(has_ended(ended, target_id("other"), first, start));
    CHECK_FALSE(has_ended(ended, engine, first, start + ended.validity));
}

TEST_CASE("the next process of the target is another one")
{
    ended_processes ended;
    note_ended(ended, engine, first, start, start);
    CHECK_FALSE(has_ended(ended, engine, second, start));
    CHECK(note_ended(ended, engine, second, start, start));
    CHECK(has_ended(ended, engine, second, start));
    CHECK_FALSE(note_ended(ended, engine, first, start, start));
    CHECK(has_ended(ended, engine, second, start));
}

TEST_CASE("what was found long ago counts no more, and takes no room")
{
    ended_processes ended;
    CHECK_FALSE(note_ended(ended, engine, first, start - ended.validity, start));
    CHECK(ended.newest.empty());
    note_ended(ended, engine, first, start, start);
    note_ended(ended, target_id("other"), first, start + ended.validity, start + ended.validity);
    CHECK(ended.newest.size() == 1);
}
