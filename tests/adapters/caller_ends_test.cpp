#include "adapters/caller_port.hpp"

#include "support/blocking_caller.hpp"
#include "support/served_port.hpp"

#include <chrono>
#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

// More than one turn of the loop takes.
constexpr std::size_t many = 200;
constexpr std::size_t long_answer_bytes = std::size_t{12} * 1024 * 1024;
constexpr std::size_t most_bytes = std::size_t{1024} * 1024;
constexpr std::string_view plain_request = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

std::vector<std::unique_ptr<blocking_caller>> connect_many(served_port& served)
{
    std::vector<std::unique_ptr<blocking_caller>> callers;
    for (std::size_t i = 0; i < many; ++i) {
        callers.push_back(std::make_unique<blocking_caller>(served.at));
    }
    REQUIRE(run_until(served.loop, [&] { return served.port.connections() == static_cast<int>(many); }));
    return callers;
}

void send_to_all(std::vector<std::unique_ptr<blocking_caller>>& callers, std::string_view bytes)
{
    for (const auto& caller : callers) {
        caller->write(bytes);
    }
}

// Nothing of the process runs meanwhile.
void stand_still(milliseconds time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time.count));
}

} // namespace

TEST_CASE(
    "requests that came on idle connections while the process stood still are not left without an answer")
{
    served_port served;
    served.set_idle_timeout({300});
    auto callers = connect_many(served);
    send_to_all(callers, plain_request);
    stand_still({600});
    run_until(served.loop, [&] { return served.taken.size() == many; }, {2'000});
    CHECK(served.taken.size() == many);
}

TEST_CASE("requests whose rest came while the process stood still are not refused as late")
{
    served_port served;
    served.port.set_bounds({.header_timeout = {300}, .idle_timeout = {300}});
    auto callers = connect_many(served);
    send_to_all(callers, plain_request.substr(0, 10));
    served.run_for({100});
    send_to_all(callers, plain_request.substr(10));
    stand_still({600});
    run_until(served.loop, [&] { return served.taken.size() == many; }, {2'000});
    CHECK(served.taken.size() == many);
}

TEST_CASE("a request that waits in the socket is not cut by a planned stop's end of idle connections")
{
    served_port served;
    blocking_caller caller(served.at);
    REQUIRE(run_until(served.loop, [&] { return served.port.connections() == 1; }));
    caller.write(plain_request);
    CHECK(served.port.close_idle() == 1);
    served.take()->answer(200, {}, "one");
    served.run_for({20});
    CHECK(caller.read(most_bytes).ends_with("one"));
}

TEST_CASE("a refusal reaches a caller that is still sending its request")
{
    served_port served;
    served.port.set_bounds({.max_body_bytes = 1'000});
    blocking_caller caller(served.at);
    caller.write("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 8000000\r\n\r\n");
    constexpr int parts = 80;
    for (int i = 0; i < parts; ++i) {
        caller.write(std::string(100'000, 'a'));
        served.run_for({2});
    }
    CHECK(caller.read(most_bytes).starts_with("HTTP/1.1 413"));
    CHECK_FALSE(caller.was_reset());
}

TEST_CASE("a connection whose refused caller sends on without end is closed")
{
    served_port served;
    served.port.set_bounds({.max_body_bytes = 1'000, .idle_timeout = {600}});
    blocking_caller caller(served.at);
    caller.write("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 800000000\r\n\r\n");
    CHECK(run_until(served.loop,
                    [&] {
                        caller.write(std::string(1'000, 'a'));
                        return served.port.connections() == 0 && caller.has_ended();
                    },
                    {4'000}));
}

TEST_CASE("a caller whose answer has no room is told so")
{
    served_port served;
    std::size_t told = 0;
    served.port.on_unread([&told](std::size_t /*bytes*/) { ++told; });
    served.unread->held = served.unread->most;
    blocking_caller caller(served.at);
    caller.write(plain_request);
    served.take()->answer(200, {}, std::string(long_answer_bytes, 'a'));
    served.run_for({20});
    CHECK(caller.read(most_bytes).starts_with("HTTP/1.1 502"));
    CHECK(told == 1);
}

TEST_CASE("a request behind an answer that ended its connection is not served")
{
    event_loop loop;
    const auto unread = std::make_shared<byte_budget>(byte_budget{served_port::usual_unread_bytes, 0});
    int served = 0;
    caller_port port(loop, unread, [&served](const std::shared_ptr<caller_exchange>& exchange) {
        ++served;
        exchange->answer(200, {}, std::string(long_answer_bytes, 'a'));
    });
    const endpoint at{"127.0.0.1", free_port()};
    REQUIRE(port.listen(at).ok());
    blocking_caller caller(at);
    const std::string one(plain_request);
    caller.write(one + one + one);
    run_until(loop, [] { return false; }, {200});
    CHECK(served == 2);
}

TEST_CASE("a caller that has ended its own direction gets the whole of a ready answer")
{
    served_port served;
    blocking_caller caller(served.at);
    caller.write(plain_request);
    served.take()->answer(200, {}, std::string(long_answer_bytes, 'a'));
    caller.end_writing();
    const std::string received = served.read_to_end(caller);
    CHECK(received.size() >= long_answer_bytes);
}

TEST_CASE("a kept connection is not ended as idle while its caller still reads the last answer")
{
    served_port served;
    served.set_idle_timeout({400});
    blocking_caller caller(served.at);
    caller.write(plain_request);
    served.take()->answer(200, {}, std::string(long_answer_bytes, 'a'));
    std::size_t received = 0;
    while (received < long_answer_bytes && !caller.has_ended()) {
        constexpr std::size_t step_bytes = std::size_t{128} * 1024;
        served.run_for({50});
        received += caller.read(step_bytes).size();
    }
    served.run_for({100});
    caller.write(plain_request);
    run_until(served.loop, [&] { return served.taken.size() == 2; }, {500});
    CHECK(served.taken.size() == 2);
}

TEST_CASE(
    "a caller whose answer has no room behind one that it has not read is told so, and it is counted once")
{
    served_port served;
    std::size_t told = 0;
    served.port.on_unread([&told](std::size_t /*bytes*/) { ++told; });
    blocking_caller caller(served.at);
    caller.write(plain_request);
    served.take()->answer(200, {}, std::string(long_answer_bytes, 'a'));
    caller.write(plain_request);
    const std::shared_ptr<caller_exchange> second = served.take();
    served.unread->held = served.unread->most;
    second->answer(200, {}, std::string(long_answer_bytes, 'a'));
    const std::string received = served.read_to_end(caller);
    CHECK(received.size() > long_answer_bytes);
    CHECK(received.find("HTTP/1.1 502") != std::string::npos);
    CHECK(told == 1);
}

TEST_CASE(
    "an answer that its caller has not read is not dropped for a request behind the end that it told of")
{
    served_port served;
    served.port.close_after_answers();
    blocking_caller caller(served.at);
    caller.write(plain_request);
    served.take()->answer(200, {}, std::string(most_bytes, 'a'));
    served.run_for({200});
    caller.write(plain_request);
    served.run_for({50});
    const std::string received = served.read_to_end(caller);
    CHECK(received.size() >= most_bytes);
}

TEST_CASE("a planned stop does not end an idle connection whose caller has not read its answer")
{
    served_port served;
    blocking_caller caller(served.at);
    caller.write(plain_request);
    served.take()->answer(200, {}, std::string(most_bytes, 'a'));
    served.run_for({300});
    CHECK(served.port.close_idle({200}) == 1);
    CHECK(served.port.unfinished() == 1);
    CHECK(served.read(caller, most_bytes).size() >= most_bytes);
    CHECK(run_until(served.loop, [&] { return served.port.unfinished() == 0; }, {1'000}));
}

TEST_CASE(
    "a kept connection is not ended as idle soon after its caller has read an answer that the system held")
{
    constexpr int window_bytes = 64 * 1024;
    constexpr int reads = 18;
    served_port served;
    served.set_idle_timeout({1'200});
    blocking_caller caller(served.at, window_bytes);
    caller.write(plain_request);
    served.take()->answer(200, {}, std::string(most_bytes, 'a'));
    std::size_t received = 0;
    for (int i = 0; i < reads; ++i) {
        served.run_for({60});
        received += caller.read(most_bytes / reads).size();
    }
    received += served.read(caller, most_bytes - received).size();
    REQUIRE(received >= most_bytes);
    served.run_for({700});
    caller.write(plain_request);
    run_until(served.loop, [&] { return served.taken.size() == 2; }, {500});
    CHECK(served.taken.size() == 2);
}

TEST_CASE("a last answer that its caller reads slowly is not dropped for what the caller sends meanwhile")
{
    struct slow_case {
        milliseconds idle_timeout;
        int reads = 0;
        milliseconds interval;
    };
    constexpr int window_bytes = 64 * 1024;
    constexpr std::size_t step_bytes = std::size_t{32} * 1024;
    for (const slow_case& one : {slow_case{{15'000}, 2, {2'600}}, slow_case{{800}, 14, {150}}}) {
        CAPTURE(one.reads);
        served_port served;
        served.set_idle_timeout(one.idle_timeout);
        served.port.close_after_answers();
        blocking_caller caller(served.at, window_bytes);
        caller.write(plain_request);
        served.take()->answer(200, {}, std::string(most_bytes, 'a'));
        std::size_t received = 0;
        for (int i = 0; i < one.reads; ++i) {
            served.run_for(one.interval);
            received += caller.read(step_bytes).size();
        }
        CHECK(served.port.unfinished() == 1);
        caller.write(plain_request);
        served.run_for({50});
        received += served.read_to_end(caller).size();
        CHECK(received >= most_bytes);
        CHECK_FALSE(caller.was_reset());
    }
}

TEST_CASE("a refusal reaches a caller that sends the parts of its request some seconds apart")
{
    served_port served;
    served.port.set_bounds({.max_body_bytes = 1'000});
    blocking_caller caller(served.at);
    caller.write("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 8000\r\n\r\n");
    for (int i = 0; i < 2; ++i) {
        caller.write(std::string(2'000, 'a'));
        served.run_for({2'600});
    }
    caller.write(std::string(2'000, 'a'));
    served.run_for({50});
    CHECK(caller.read(most_bytes).starts_with("HTTP/1.1 413"));
    CHECK_FALSE(caller.was_reset());
}

TEST_CASE("a connection whose caller neither reads its last answer nor sends is closed")
{
    served_port served;
    served.set_idle_timeout({600});
    served.port.close_after_answers();
    blocking_caller caller(served.at);
    caller.write(plain_request);
    served.take()->answer(200, {}, std::string(long_answer_bytes / 2, 'a'));
    CHECK(run_until(served.loop, [&] { return served.port.connections() == 0; }, {3'000}));
}
