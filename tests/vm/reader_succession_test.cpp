#include "vm/reader_succession.hpp"

#include <doctest/doctest.h>
#include <string>

using namespace dandelionstep;

namespace {

peer peer_of(const std::string& vm)
{
    return {vm_id(vm), {"10.0.0.1", 7'000}};
}

reader_succession line_of_three()
{
    reader_succession succession;
    set_successors(succession, peer_of("reader"), {peer_of("first"), peer_of("second")});
    return succession;
}

const vm_id self("self");

} // namespace

TEST_CASE("daemons ask the reader's successors one after the other when it fails")
{
    reader_succession succession = line_of_three();
    note_reply(succession, reader_reply::unavailable);
    REQUIRE(next_step(succession, self, false) == succession_step::ask);
    CHECK(succession.line[succession.next].vm == vm_id("first"));
    note_reply(succession, reader_reply::unavailable);
    REQUIRE(next_step(succession, self, false) == succession_step::ask);
    CHECK(succession.line[succession.next].vm == vm_id("second"));
}

TEST_CASE("a daemon that is next in line starts to read the store, once")
{
    reader_succession succession = line_of_three();
    note_reply(succession, reader_reply::unavailable);
    CHECK(next_step(succession, vm_id("first"), false) == succession_step::read);
    // It goes on to ask the other daemons while it does not reach the store itself.
    REQUIRE(next_step(succession, vm_id("first"), true) == succession_step::ask);
    CHECK(succession.line[succession.next].vm == vm_id("second"));
}

TEST_CASE("a daemon looks for a reader in the store if no daemon in the line answers")
{
    reader_succession succession = line_of_three();
    for (int i = 0; i < 3; ++i) {
        REQUIRE(next_step(succession, self, false) == succession_step::ask);
        note_reply(succession, reader_reply::unavailable);
    }
    CHECK(next_step(succession, self, false) == succession_step::search);
}

TEST_CASE("daemons that answer but don't reach the store are asked again after a pause")
{
    reader_succession succession = line_of_three();
    note_reply(succession, reader_reply::outdated);
    note_reply(succession, reader_reply::unavailable);
    note_reply(succession, reader_reply::outdated);
    CHECK(next_step(succession, self, false) == succession_step::pause);
    REQUIRE(next_step(succession, self, false) == succession_step::ask);
    CHECK(succession.line[succession.next].vm == vm_id("reader"));
}

TEST_CASE("a reader without successors waits, and does not look for another reader")
{
    reader_succession alone;
    CHECK(next_step(alone, self, true) == succession_step::pause);
}

TEST_CASE("a daemon that another one refers to is asked next, unless it was asked before")
{
    reader_succession succession = line_of_three();
    note_reply(succession, reader_reply::outdated);
    SUBCASE("a daemon that is not in the line")
    {
        add_referral(succession, peer_of("other"));
        CHECK(succession.line[succession.next].vm == vm_id("other"));
        CHECK(succession.line.size() == 4);
    }
    SUBCASE("a daemon that is later in the line")
    {
        add_referral(succession, peer_of("second"));
        CHECK(succession.line[succession.next].vm == vm_id("second"));
        CHECK(succession.line.back().vm == vm_id("first"));
    }
    SUBCASE("a daemon that was asked: two daemons that refer to each other are not asked in turn for ever")
    {
        add_referral(succession, peer_of("reader"));
        CHECK(succession.line[succession.next].vm == vm_id("first"));
        CHECK(succession.line.size() == 3);
    }
}

TEST_CASE("the reader is not asked twice when its successors name it")
{
    reader_succession succession;
    set_successors(succession, peer_of("reader"), {peer_of("reader"), peer_of("first")});
    CHECK(succession.line.size() == 2);
}

TEST_CASE("a current reply starts the line over")
{
    reader_succession succession = line_of_three();
    note_reply(succession, reader_reply::outdated);
    note_reply(succession, reader_reply::current);
    CHECK(succession.next == 0);
    CHECK_FALSE(succession.any_answered);
}
