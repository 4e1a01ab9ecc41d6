#include "vm/reader_search.hpp"

#include "vm/vm_capacity.hpp"

#include <doctest/doctest.h>
#include <initializer_list>

using namespace dandelionstep;

namespace {

constexpr double lowest_delay_factor = 1;
constexpr double highest_delay_factor = 5;

} // namespace

TEST_CASE("a daemon that finds no reader reads the rows once more before it becomes the reader")
{
    reader_search search;
    const search_decision first = after_look(search, {false, false}, lowest_delay_factor, 0.5, {0});
    CHECK(first.step == search_step::look);
    CHECK(first.pause > milliseconds{0});
    CHECK(after_look(search, {false, false}, lowest_delay_factor, 0.5, {500}).step == search_step::read);
}

TEST_CASE("a VM that was a reader before its restart becomes the reader at once if there is no other")
{
    reader_search search;
    CHECK(after_look(search, {false, true}, lowest_delay_factor, 0.5, {0}).step == search_step::read);
}

TEST_CASE("a VM that was a reader follows the daemon that took over, if that one answers")
{
    reader_search search;
    CHECK(after_look(search, {true, true}, lowest_delay_factor, 0.5, {0}).step == search_step::ask);
    // It does not answer, and the other daemons ask this VM.
    CHECK(after_no_answer(search, 0.5, {10}).step == search_step::read);
}

TEST_CASE("readers that do not answer are asked again for a while, then the rows are read again")
{
    reader_search search;
    REQUIRE(after_look(search, {true, false}, lowest_delay_factor, 0.5, {0}).step == search_step::ask);
    const search_decision again = after_no_answer(search, 0.5, {100});
    CHECK(again.step == search_step::ask);
    CHECK(again.pause > milliseconds{0});
    CHECK(after_no_answer(search, 0.5, {5'000}).step == search_step::look);
}

TEST_CASE("a VM with little capacity reads the rows once more before it replaces readers that are gone")
{
    for (const double delay_factor : {lowest_delay_factor, highest_delay_factor}) {
        CAPTURE(delay_factor);
        reader_search search;
        std::int64_t looks = 1;
        while (after_look(search, {true, false}, delay_factor, 0.5, {looks * 1'000}).step ==
               search_step::ask) {
            ++looks;
        }
        CHECK(looks == (delay_factor == lowest_delay_factor ? 3 : 4));
    }
}

TEST_CASE("a daemon waits for a reader that is starting, however often it answers so")
{
    reader_search search;
    REQUIRE(after_look(search, {true, true}, lowest_delay_factor, 0.5, {0}).step == search_step::ask);
    for (std::int64_t now = 100; now < 10'000; now += 500) {
        note_reader_starting(search, {now});
        CHECK(after_no_answer(search, 0.5, {now + 100}).step == search_step::ask);
    }
    CHECK(after_no_answer(search, 0.5, {20'000}).step == search_step::read);
}

TEST_CASE("a daemon that lost its reader asks again for a shorter time than one that starts")
{
    reader_search starting;
    reader_search urgent;
    urgent.is_urgent = true;
    for (const double draw : {0.0, 0.5, 0.99}) {
        CAPTURE(draw);
        after_look(starting, {true, false}, lowest_delay_factor, draw, {0});
        after_look(urgent, {true, false}, lowest_delay_factor, draw, {0});
        CHECK(urgent.retry_until < starting.retry_until);
    }
}

TEST_CASE("when VMs start for the first time, those with much capacity read the rows first")
{
    const double strong = election_delay_factor({0.5, 200});
    const double weak = election_delay_factor({0.12, 20});
    CHECK(first_look_pause(strong, 0.99) < first_look_pause(weak, 0));
}

TEST_CASE("the pause after failed reads of the rows grows, up to about a second")
{
    CHECK(failed_look_pause(1, 0.5) < failed_look_pause(2, 0.5));
    for (const int failures : {1, 2, 5, 1'000}) {
        CAPTURE(failures);
        for (const double draw : {0.0, 0.99}) {
            CHECK(failed_look_pause(failures, draw) > milliseconds{0});
            CHECK(failed_look_pause(failures, draw) <= milliseconds{1'500});
        }
    }
}
