#include "absl/strings/str_cat.h"
#include "adapters/caller_port.hpp"

#include "support/blocking_caller.hpp"
#include "support/served_port.hpp"

#include <doctest/doctest.h>
#include <vector>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

// More than the system's buffers on both sides hold.
constexpr std::size_t long_answer_bytes = std::size_t{12} * 1024 * 1024;
constexpr std::size_t step_bytes = std::size_t{256} * 1024;
constexpr std::string_view plain_request = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
constexpr std::string_view last_request = "GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

// Reads on, a part at a time and without a pause, until the connection ends or brings nothing more.
std::string read_slowly(served_port& served, blocking_caller& caller, std::size_t all)
{
    constexpr milliseconds pause{50};
    std::string received;
    while (received.size() < all && !caller.has_ended()) {
        served.run_for(pause);
        received += caller.read(step_bytes);
    }
    return received;
}

} // namespace

TEST_CASE("an answer that its caller still reads is not cut by an idle timeout that is lowered meanwhile")
{
    for (const std::string_view request : {plain_request, last_request}) {
        CAPTURE(request);
        served_port served;
        served.set_idle_timeout({60'000});
        blocking_caller caller(served.at);
        caller.write(request);
        served.take()->answer(200, {}, std::string(long_answer_bytes, 'a'));
        served.set_idle_timeout({300});
        CHECK(read_slowly(served, caller, long_answer_bytes).size() >= long_answer_bytes);
    }
}

TEST_CASE("an answer that takes its caller longer than the idle timeout is not cut while it is read")
{
    served_port served;
    served.set_idle_timeout({300});
    blocking_caller caller(served.at);
    caller.write(plain_request);
    served.take()->answer(200, {}, std::string(long_answer_bytes, 'a'));
    CHECK(read_slowly(served, caller, long_answer_bytes).size() >= long_answer_bytes);
}

TEST_CASE("a caller that takes nothing of its answer within the idle timeout is cut off")
{
    served_port served;
    std::vector<timed_out_connection> told;
    served.port.on_timeout([&told](const timed_out_connection& ended) { told.push_back(ended); });
    served.set_idle_timeout({300});
    blocking_caller caller(served.at);
    caller.write(plain_request);
    served.take()->answer(200, {}, std::string(long_answer_bytes, 'a'));
    REQUIRE(run_until(served.loop, [&] { return served.port.connections() == 0; }, {3'000}));
    REQUIRE(told.size() == 1);
    CHECK(told[0].unsent_bytes > 0);
    CHECK(told[0].timeout == milliseconds{300});
    CHECK(told[0].quiet > told[0].timeout);
}

TEST_CASE(
    "an answer that waits whole in the system is not told as nothing when a timeout ends its connection")
{
    constexpr int window_bytes = 4096;
    constexpr std::size_t answer_bytes = 200'000;
    for (const std::string_view request : {plain_request, last_request}) {
        CAPTURE(request);
        served_port served;
        std::vector<timed_out_connection> told;
        served.port.on_timeout([&told](const timed_out_connection& ended) { told.push_back(ended); });
        served.set_idle_timeout({300});
        blocking_caller caller(served.at, window_bytes);
        caller.write(request);
        served.take()->answer(200, {}, std::string(answer_bytes, 'a'));
        REQUIRE(run_until(served.loop, [&] { return served.port.connections() == 0; }, {4'000}));
        REQUIRE(told.size() == 1);
        CHECK(told[0].unsent_bytes > answer_bytes / 2);
        CHECK(told[0].unsent_bytes < answer_bytes + 1'000);
        CHECK(told[0].timeout == milliseconds{300});
        CHECK(told[0].quiet > told[0].timeout);
    }
}

TEST_CASE("an idle connection that a timeout ends is told with no bytes once its caller has its answer")
{
    served_port served;
    std::vector<timed_out_connection> told;
    served.port.on_timeout([&told](const timed_out_connection& ended) { told.push_back(ended); });
    served.set_idle_timeout({300});
    blocking_caller caller(served.at);
    caller.write(plain_request);
    served.take()->answer(200, {}, "one");
    REQUIRE(run_until(served.loop, [&] { return served.port.connections() == 0; }, {3'000}));
    REQUIRE(told.size() == 1);
    CHECK(told[0].unsent_bytes == 0);
    CHECK(told[0].quiet > told[0].timeout);
}

TEST_CASE("an answer that its caller still reads is not cut by a planned stop")
{
    served_port served;
    blocking_caller caller(served.at);
    caller.write(plain_request);
    const std::shared_ptr<caller_exchange> exchange = served.take();
    exchange->start(200, {});
    served.port.close_after_answers();
    exchange->write(std::string(long_answer_bytes, 'a'));
    exchange->finish();
    served.run_for({400});
    served.port.close_idle({200});
    CHECK(read_slowly(served, caller, long_answer_bytes).size() >= long_answer_bytes);
}

TEST_CASE("a connection may be used again for as long as the bound under which it became idle")
{
    served_port served;
    served.set_idle_timeout({2'000});
    blocking_caller caller(served.at);
    caller.write(plain_request);
    served.take()->answer(200, {}, "one");
    served.set_idle_timeout({200});
    served.run_for({900});
    caller.write(plain_request);
    served.take()->answer(200, {}, "two");
    served.run_for({20});
    CHECK(caller.read(step_bytes).ends_with("two"));
    // From here on the lower bound holds.
    CHECK(run_until(served.loop, [&] { return served.port.connections() == 0; }, {1'000}));
}

TEST_CASE("a request that is arriving is not refused for bounds that are lowered meanwhile")
{
    struct lowered_case {
        std::string what;
        caller_bounds lowered;
    };
    const std::vector<lowered_case> table{
        {"the time for its head", {.header_timeout = {50}}},
        {"the time between its parts", {.idle_timeout = {50}}},
        {"the size of its head", {.max_header_bytes = 20}},
        {"the size of its body", {.max_body_bytes = 10}},
    };
    for (const lowered_case& one : table) {
        CAPTURE(one.what);
        for (const std::string_view begun :
             {std::string_view("POST /a HTTP/1.1\r\nHost: x\r\n"),
              std::string_view("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 20\r\n\r\n01234")}) {
            CAPTURE(begun);
            served_port served;
            served.port.set_bounds({});
            blocking_caller caller(served.at);
            caller.write(begun);
            served.run_for({30});
            served.port.set_bounds(one.lowered);
            served.run_for({400});
            const bool is_in_head = begun.ends_with("x\r\n");
            caller.write(is_in_head ? "Content-Length: 20\r\n\r\n01234567890123456789" : "567890123456789");
            run_until(served.loop, [&] { return !served.taken.empty(); }, {1'000});
            REQUIRE(served.taken.size() == 1);
            CHECK(served.taken[0]->body == "01234567890123456789");
        }
    }
}

TEST_CASE("a bound that is raised holds at once for a request that is arriving")
{
    served_port served;
    served.set_idle_timeout({600});
    blocking_caller caller(served.at);
    caller.write("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n0");
    served.run_for({30});
    served.set_idle_timeout({60'000});
    served.run_for({1'200});
    caller.write("1");
    CHECK(served.take()->body == "01");
}
