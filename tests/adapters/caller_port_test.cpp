#include "absl/strings/str_cat.h"
#include "adapters/caller_port.hpp"

#include "support/served_port.hpp"

#include <doctest/doctest.h>
#include <memory>
#include <vector>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr std::size_t unread_bytes = std::size_t{16} * 1024 * 1024;

constexpr const char* plain_request = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

} // namespace

TEST_CASE("a kept connection carries one request after the other, also when they come together")
{
    served_port served;
    const auto caller =
        served.ask(absl::StrCat(plain_request, "POST /b HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"));
    CHECK(served.taken.size() == 1);
    served.taken[0]->answer(200, {}, "one");
    REQUIRE(run_until(served.loop, [&] { return served.taken.size() == 2; }));
    CHECK(served.taken[1]->head.target == "/b");
    CHECK(served.taken[1]->body == "hi");
    served.taken[1]->answer(200, {}, "two");
    REQUIRE(run_until(served.loop, [&] { return caller->received.ends_with("two"); }));
    CHECK(served.port.unfinished() == 0);
    CHECK(served.port.connections() == 1);
}

TEST_CASE("an answer in parts is whole only when it was finished")
{
    served_port served;
    const auto whole = served.ask(plain_request);
    served.taken[0]->start(200, {});
    served.taken[0]->write("part");
    served.taken[0]->finish();
    REQUIRE(run_until(served.loop, [&] { return whole->received.ends_with("4\r\npart\r\n0\r\n\r\n"); }));
    const auto cut = served.ask(plain_request);
    served.taken[1]->start(200, {});
    served.taken[1]->write("part");
    REQUIRE(run_until(served.loop, [&] { return cut->received.ends_with("part\r\n"); }));
    served.taken[1]->abort();
    REQUIRE(run_until(served.loop, [&] { return cut->closed; }));
    CHECK_FALSE(cut->received.ends_with("0\r\n\r\n"));
}

TEST_CASE("a caller that goes away is noticed while its request is served")
{
    served_port served;
    const auto caller = served.ask(plain_request);
    bool gone = false;
    served.taken[0]->on_gone = [&] { gone = true; };
    caller->reset();
    REQUIRE(run_until(served.loop, [&] { return gone; }));
    CHECK(served.taken[0]->gone());
    served.taken[0]->answer(200, {}, "nobody reads this");
}

TEST_CASE("requests beyond the bounds are refused and end their connection")
{
    struct bound_case {
        std::string what;
        std::string bytes;
        std::string status;
    };
    const std::vector<bound_case> table{
        {"a long head", "GET / HTTP/1.1\r\nX: " + std::string(2'000, 'a'), "HTTP/1.1 431"},
        {"a long body", "POST / HTTP/1.1\r\nContent-Length: 3000\r\n\r\n" + std::string(3'000, 'a'),
         "HTTP/1.1 413"},
        {"no HTTP", "\x01\x02\r\n\r\n", "HTTP/1.1 400"},
        {"a head that stays unfinished", "GET / HTTP/1.1\r\nX: y", "HTTP/1.1 408"},
    };
    for (const bound_case& one : table) {
        CAPTURE(one.what);
        served_port served;
        served.port.set_bounds({.max_header_bytes = 1'000,
                                .max_body_bytes = 2'000,
                                .header_timeout = {100},
                                .idle_timeout = {60'000}});
        const auto caller = connect_raw(served.loop, served.at);
        caller->write(one.bytes);
        REQUIRE(run_until(served.loop, [&] { return caller->closed; }));
        CHECK(caller->received.starts_with(one.status));
        CHECK(served.taken.empty());
    }
}

TEST_CASE("requests beyond bounds that hold until a configuration is known are not refused for good")
{
    const std::string long_body = "POST / HTTP/1.1\r\nContent-Length: 3000\r\n\r\n" + std::string(3'000, 'a');
    for (const std::string& bytes : {"GET / HTTP/1.1\r\nX: " + std::string(2'000, 'a'), long_body,
                                     std::string("GET / HTTP/1.1\r\nX: y")}) {
        CAPTURE(bytes);
        served_port served;
        served.port.set_bounds({.max_header_bytes = 1'000,
                                .max_body_bytes = 2'000,
                                .header_timeout = {100},
                                .idle_timeout = {60'000},
                                .are_preliminary = true});
        const auto caller = connect_raw(served.loop, served.at);
        caller->write(bytes);
        REQUIRE(run_until(served.loop, [&] { return caller->closed; }));
        CHECK(caller->received.starts_with("HTTP/1.1 503"));
        CHECK(caller->received.find("Retry-After: 0.100") != std::string::npos);
    }
}

TEST_CASE("a request that arrives while the configuration becomes known is within its bounds")
{
    served_port served;
    served.port.set_bounds({.max_body_bytes = 2'000, .are_preliminary = true});
    const auto caller = connect_raw(served.loop, served.at);
    caller->write("POST / HTTP/1.1\r\nContent-Length: 3000\r\n\r\n" + std::string(1'000, 'a'));
    served.run_for({50});
    served.port.set_bounds({.max_body_bytes = 4'000});
    caller->write(std::string(2'000, 'a'));
    CHECK(served.take()->body.size() == 3'000);
}

TEST_CASE("an idle connection is closed after the idle time and not before")
{
    served_port served;
    served.port.set_bounds(
        {.max_header_bytes = 1'000, .max_body_bytes = 2'000, .header_timeout = {100}, .idle_timeout = {600}});
    const auto caller = served.ask(plain_request);
    served.taken[0]->answer(200, {}, "x");
    CHECK_FALSE(run_until(served.loop, [&] { return caller->closed; }, {450}));
    CHECK(run_until(served.loop, [&] { return caller->closed; }, {2'000}));
}

TEST_CASE("a port that is being left answers what it has and closes")
{
    served_port served;
    const auto busy = served.ask(plain_request);
    const auto idle = served.ask(plain_request);
    served.taken[1]->answer(200, {}, "x");
    REQUIRE(run_until(served.loop, [&] { return idle->received.ends_with("x"); }));
    served.port.close_after_answers();
    served.port.close_idle();
    REQUIRE(run_until(served.loop, [&] { return idle->closed; }));
    CHECK_FALSE(busy->closed);
    served.taken[0]->answer(200, {}, "late");
    REQUIRE(run_until(served.loop, [&] { return busy->closed; }));
    CHECK(busy->received.find("Connection: close") != std::string::npos);
    CHECK(busy->received.ends_with("late"));
    CHECK(served.port.connections() == 0);
}

TEST_CASE(
    "a request that was read behind an answer that did not announce the end is served by a port that is left")
{
    served_port served;
    std::size_t dropped = 0;
    served.port.on_unanswered([&dropped](std::size_t /*bytes*/) { ++dropped; });
    const auto caller = served.ask(plain_request);
    served.taken[0]->start(200, {});
    caller->write("POST /b HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi");
    served.port.close_after_answers();
    // The second request is read before the first answer ends.
    run_until(served.loop, [] { return false; }, {50});
    served.taken[0]->finish();
    CHECK(served.port.unfinished() == 1);
    served.port.close_idle();
    REQUIRE(run_until(served.loop, [&] { return served.taken.size() == 2; }));
    CHECK(served.taken[1]->body == "hi");
    served.taken[1]->answer(200, {}, "two");
    REQUIRE(run_until(served.loop, [&] { return caller->closed; }));
    CHECK(caller->received.find("Connection: close") != std::string::npos);
    CHECK(caller->received.ends_with("two"));
    CHECK(dropped == 0);
}

TEST_CASE("a connection whose answer did not announce the end stays open for a while at a port that is left")
{
    served_port served;
    const auto caller = served.ask(plain_request);
    served.taken[0]->start(200, {});
    served.port.close_after_answers();
    served.taken[0]->finish();
    CHECK(served.port.close_idle({300}) == 1);
    CHECK_FALSE(run_until(served.loop, [&] { return caller->closed; }, {100}));
    run_until(served.loop, [] { return false; }, {300});
    CHECK(served.port.close_idle({300}) == 0);
    CHECK(run_until(served.loop, [&] { return caller->closed; }));
}

// The load that it answers: callers who ask for long answers and do not read them.
TEST_CASE("what waits for callers who do not read is bounded over all of them, and others are answered")
{
    constexpr std::size_t callers = 100;
    const std::string part(std::size_t{64} * 1024, 'p');
    served_port served(unread_bytes);
    std::size_t cut = 0;
    served.port.on_unread([&cut](std::size_t bytes) { cut += bytes > 0 ? 1 : 0; });
    std::vector<std::unique_ptr<blocking_caller>> silent;
    silent.reserve(callers);
    for (std::size_t i = 0; i < callers; ++i) {
        silent.push_back(std::make_unique<blocking_caller>(served.at));
        silent.back()->write(plain_request);
    }
    REQUIRE(run_until(served.loop, [&] { return served.taken.size() == callers; }));
    const std::vector<std::shared_ptr<caller_exchange>> idle = served.taken;
    std::size_t most = 0;
    int answered = 0;
    for (int round = 0; round < 200; ++round) {
        for (const std::shared_ptr<caller_exchange>& one : idle) {
            one->start(200, {});
            one->write(part);
            most = std::max(most, served.unread->held);
        }
        run_until(served.loop, [] { return false; }, {1});
        if (served.unread->held > unread_bytes / 2 && answered == 0) {
            // Beside them a caller who reads is answered.
            const auto reader = served.ask(plain_request);
            served.taken.back()->answer(200, {}, part);
            REQUIRE(run_until(served.loop, [&] { return reader->received.size() > part.size(); }));
            ++answered;
        }
    }
    CHECK(answered == 1);
    CHECK(most <= unread_bytes);
    CHECK(cut > callers / 2);
    silent.clear();
    CHECK(run_until(served.loop, [&] { return served.port.connections() == 0; }));
    CHECK(served.unread->held == 0);
}
