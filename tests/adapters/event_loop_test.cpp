#include "adapters/event_loop.hpp"
#include "support/scripted_peer.hpp"

#include <array>
#include <chrono>
#include <doctest/doctest.h>
#include <event2/event.h>
#include <optional>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace dandelionstep;
using namespace dandelionstep::testing;

TEST_CASE("what is to run at a time never runs before it, however long the loop was busy")
{
    event_loop loop;
    for (int round = 0; round < 20; ++round) {
        std::optional<time_point> ran_at;
        time_point due;
        event_loop::timer timer;
        loop.post([&] {
            // The loop's own idea of the time is that long in the past when the timer is made.
            std::this_thread::sleep_for(std::chrono::milliseconds(12));
            due = event_loop::now() + milliseconds{10};
            timer = loop.run_at(due, [&] { ran_at = event_loop::now(); });
        });
        REQUIRE(run_until(loop, [&] { return ran_at.has_value(); }));
        CHECK(*ran_at >= due);
    }
}

TEST_CASE("what was to run at a time does not when its timer is gone")
{
    event_loop loop;
    bool ran = false;
    event_loop::timer timer = loop.run_at(event_loop::now() + milliseconds{20}, [&] { ran = true; });
    timer = {};
    run_until(loop, [] { return false; }, {60});
    CHECK_FALSE(ran);
}

namespace {

// Enough that the loop does not take them in one turn.
constexpr std::size_t many_sockets = 200;

// Sockets whose bytes the loop reads.
class read_sockets {
public:
    read_sockets(event_loop& loop, std::size_t count) : pairs(count)
    {
        for (socket_pair& made : this->pairs) {
            REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, made.ends.data()) == 0);
            made.watch = event_new(loop.base(), made.ends[0], EV_READ | EV_PERSIST, on_bytes, this);
            event_add(made.watch, nullptr);
        }
    }
    ~read_sockets()
    {
        for (const socket_pair& made : this->pairs) {
            event_free(made.watch);
            close(made.ends[0]);
            close(made.ends[1]);
        }
    }
    read_sockets(const read_sockets&) = delete;
    read_sockets& operator=(const read_sockets&) = delete;
    read_sockets(read_sockets&&) = delete;
    read_sockets& operator=(read_sockets&&) = delete;

    void write_all() const
    {
        for (const socket_pair& made : this->pairs) {
            REQUIRE(write(made.ends[1], "x", 1) == 1);
        }
    }

    std::size_t count = 0;

private:
    struct socket_pair {
        std::array<int, 2> ends{};
        event* watch = nullptr;
    };

    static void on_bytes(evutil_socket_t from, short /*what*/, void* argument)
    {
        char byte = 0;
        if (read(from, &byte, 1) == 1) {
            ++static_cast<read_sockets*>(argument)->count;
        }
    }

    std::vector<socket_pair> pairs;
};

void stand_still(milliseconds span)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(span.count));
}

using timer_maker = std::function<event_loop::timer(event_loop&, milliseconds, event_loop::callback)>;

const std::vector<timer_maker> timer_makers{
    [](event_loop& loop, milliseconds delay, event_loop::callback run) {
        return loop.run_after(delay, std::move(run));
    },
    [](event_loop& loop, milliseconds delay, event_loop::callback run) {
        return loop.run_at(event_loop::now() + delay, std::move(run));
    },
    [](event_loop& loop, milliseconds delay, event_loop::callback run) {
        return loop.run_every(delay, std::move(run));
    }};

} // namespace

TEST_CASE("bytes that came during a standstill are read before a timer that ran late")
{
    for (const timer_maker& make : timer_makers) {
        event_loop loop;
        read_sockets sockets(loop, many_sockets);
        std::optional<std::size_t> read_before;
        const event_loop::timer timer =
            make(loop, milliseconds{50}, [&] { read_before = read_before.value_or(sockets.count); });
        sockets.write_all();
        stand_still({200});
        REQUIRE(run_until(loop, [&] { return read_before.has_value(); }));
        CHECK(*read_before == many_sockets);
    }
}

TEST_CASE("a timer that is late runs once for its firing, and goes on at its interval")
{
    event_loop loop;
    int once = 0;
    int at = 0;
    std::vector<time_point> every;
    const event_loop::timer first = loop.run_after({10}, [&] { ++once; });
    const event_loop::timer second = loop.run_at(event_loop::now() + milliseconds{10}, [&] { ++at; });
    const event_loop::timer third = loop.run_every({30}, [&] { every.push_back(event_loop::now()); });
    stand_still({200});
    const time_point resumed = event_loop::now();
    REQUIRE(run_until(loop, [&] { return every.size() == 4; }));
    CHECK(once == 1);
    CHECK(at == 1);
    CHECK(every.front() - resumed < milliseconds{30});
    CHECK(every.back() - every.front() >= milliseconds{60});
}

TEST_CASE("a late timer that is ended while it gives way to sockets does not run")
{
    for (const timer_maker& make : timer_makers) {
        event_loop loop;
        bool ran = false;
        event_loop::timer late = make(loop, milliseconds{60}, [&] { ran = true; });
        stand_still({200});
        const event_loop::timer ender = loop.run_after({0}, [&] { late = {}; });
        run_until(loop, [] { return false; }, {100});
        CHECK_FALSE(ran);
    }
}

TEST_CASE("a late timer may end itself")
{
    for (const timer_maker& make : timer_makers) {
        event_loop loop;
        int runs = 0;
        event_loop::timer late;
        late = make(loop, milliseconds{10}, [&] {
            ++runs;
            late = {};
        });
        stand_still({200});
        run_until(loop, [] { return false; }, {100});
        CHECK(runs == 1);
    }
}
