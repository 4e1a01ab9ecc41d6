#include "support/port_blocks.hpp"

#include "support/cluster.hpp"

#include <array>
#include <doctest/doctest.h>
#include <set>
#include <thread>
#include <vector>

using namespace dandelionstep::testing;

namespace {

// One that no other run of this test holds.
int find_named_block()
{
    for (int i = 0; i < port_block::named_block_count; ++i) {
        if (port_block::take(port_block::block_count + i)) {
            return port_block::block_count + i;
        }
    }
    FAIL("all blocks are taken that only this test takes");
    return -1;
}

} // namespace

TEST_CASE("a block of ports that one has taken is nobody else's until it is given back")
{
    const int some_block = find_named_block();
    std::optional<port_block> mine = port_block::take(some_block);
    REQUIRE(mine);
    CHECK_FALSE(port_block::take(some_block));
    port_block moved = std::move(*mine);
    mine.reset();
    CHECK_FALSE(port_block::take(some_block));
    {
        const port_block given_back = std::move(moved);
    }
    CHECK(port_block::take(some_block));
}

TEST_CASE("a block gives each of its ports once")
{
    std::optional<port_block> block = port_block::take(find_named_block());
    REQUIRE(block);
    std::set<std::uint16_t> ports;
    while (const auto port = block->next_port()) {
        ports.insert(*port);
    }
    CHECK(ports.size() == port_block::ports_in_block);
    CHECK(*ports.rbegin() - *ports.begin() == port_block::ports_in_block - 1);
}

TEST_CASE("the ports of a test are of blocks that it holds")
{
    std::set<std::uint16_t> ports;
    for (int i = 0; i < port_block::ports_in_block * 2; ++i) {
        const std::uint16_t port = free_port();
        CHECK(ports.insert(port).second);
        CHECK_FALSE(port_block::take((port - port_block::first_port) / port_block::ports_in_block));
    }
}

TEST_CASE("threads that draw ports at the same moment get different ones")
{
    std::array<std::vector<std::uint16_t>, 4> drawn;
    {
        std::vector<std::jthread> threads;
        threads.reserve(drawn.size());
        for (std::vector<std::uint16_t>& own : drawn) {
            threads.emplace_back([&own] {
                for (int i = 0; i < port_block::ports_in_block * 2; ++i) {
                    own.push_back(free_port());
                }
            });
        }
    }
    std::set<std::uint16_t> ports;
    for (const std::vector<std::uint16_t>& own : drawn) {
        for (const std::uint16_t port : own) {
            CHECK(ports.insert(port).second);
        }
    }
}
