#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "adapters/caller_port.hpp"

#include "support/served_port.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <vector>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t budget_bytes = 1'024 * kilobyte;
constexpr std::size_t long_bytes = 200 * kilobyte;

std::string request_of(std::size_t length, std::size_t sent)
{
    return absl::StrCat("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: ", length, "\r\n\r\n",
                        std::string(sent, 'x'));
}

std::string chunked_request(std::size_t length)
{
    return absl::StrCat("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n",
                        absl::Hex(length), "\r\n", std::string(length, 'x'), "\r\n0\r\n\r\n");
}

struct bounded_port {
    served_port served;
    std::shared_ptr<byte_budget> budget = std::make_shared<byte_budget>(byte_budget{budget_bytes, 0});
    std::vector<std::shared_ptr<raw_connection>> callers;
    std::size_t most_held = 0;

    bounded_port()
    {
        this->served.port.bound_requests(this->budget, [] { return http_headers{{"Retry-After", "0.500"}}; });
    }

    void send(const std::string& bytes)
    {
        this->callers.push_back(connect_raw(this->served.loop, this->served.at));
        this->callers.back()->write(bytes);
    }

    bool run_until_taken(std::size_t count, milliseconds within = {5'000})
    {
        return run_until(
            this->served.loop,
            [&] {
                this->most_held = std::max(this->most_held, this->budget->held);
                return this->served.taken.size() >= count;
            },
            within);
    }

    // Answers what was taken, and drops it.
    void answer_all()
    {
        for (const std::shared_ptr<caller_exchange>& one : this->served.taken) {
            one->answer(200, {}, "done");
        }
        this->served.taken.clear();
    }

    [[nodiscard]] std::size_t count_answers(std::string_view status) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(this->callers, [&](const auto& caller) {
            return caller->received.starts_with(absl::StrCat("HTTP/1.1 ", std::string(status)));
        }));
    }
};

} // namespace

// The bodies of many callers, each within its bound, took a daemon past its memory.
TEST_CASE("requests of many callers stay within the budget, and each is answered or refused as not run")
{
    constexpr std::size_t callers = 30;
    bounded_port port;
    for (std::size_t i = 0; i < callers; ++i) {
        port.send(i % 2 == 0 ? request_of(long_bytes, long_bytes) : chunked_request(long_bytes));
    }
    std::size_t whole = 0;
    REQUIRE(run_until(port.served.loop, [&] {
        port.most_held = std::max(port.most_held, port.budget->held);
        whole += static_cast<std::size_t>(std::ranges::count_if(
            port.served.taken, [](const auto& one) { return one->body.size() == long_bytes; }));
        port.answer_all();
        return port.count_answers("200") + port.count_answers("503") == callers;
    }));
    CHECK(port.most_held <= budget_bytes);
    CHECK(port.most_held > 0);
    CHECK(whole == port.count_answers("200"));
    CHECK(whole >= callers / 2);
    CHECK(run_until(port.served.loop, [&] { return port.budget->held == 0; }));
    CHECK(port.served.port.paused() == 0);
}

TEST_CASE("a request without room waits unread, the oldest goes on first, and after a second it is refused")
{
    bounded_port port;
    for (int i = 0; i < 6; ++i) {
        port.send(request_of(long_bytes, long_bytes));
        port.served.run_for({20});
    }
    REQUIRE(port.run_until_taken(4));
    CHECK(port.served.port.paused() == 2);
    SUBCASE("the oldest goes on when there is room")
    {
        port.served.taken.front()->answer(200, {}, "done");
        port.served.taken.erase(port.served.taken.begin());
        CHECK(run_until(port.served.loop, [&] { return port.served.port.paused() == 1; }));
        CHECK(port.run_until_taken(4, {500}));
        CHECK(port.callers.back()->received.empty());
    }
    SUBCASE("they are refused after a second, as nothing of them was run")
    {
        REQUIRE(run_until(port.served.loop, [&] { return port.count_answers("503") == 2; }));
        CHECK(absl::StrContains(port.callers.back()->received, "Retry-After: 0.500"));
        CHECK(port.served.taken.size() == 4);
    }
}

TEST_CASE("short requests have room beside long ones")
{
    bounded_port port;
    for (int i = 0; i < 8; ++i) {
        port.send(request_of(long_bytes, long_bytes));
    }
    REQUIRE(port.run_until_taken(4));
    port.send(request_of(600, 600));
    REQUIRE(port.run_until_taken(5, {500}));
    CHECK(port.served.taken.back()->body.size() == 600);
}

TEST_CASE("a request longer than the budget is taken while nothing else takes much")
{
    bounded_port port;
    port.send(request_of(2 * budget_bytes, 2 * budget_bytes));
    REQUIRE(port.run_until_taken(1));
    CHECK(port.served.taken.front()->body.size() == 2 * budget_bytes);
}

TEST_CASE("callers that announce long bodies and send nothing give way to those that send")
{
    bounded_port port;
    for (int i = 0; i < 4; ++i) {
        port.send(request_of(long_bytes, 10));
    }
    port.served.run_for({50});
    // The room for the whole body is held once more of it comes.
    for (const std::shared_ptr<raw_connection>& caller : port.callers) {
        caller->write("more");
    }
    port.served.run_for({1'200});
    // Nobody needed the room, so they are still waited for.
    CHECK(port.count_answers("503") == 0);
    port.send(request_of(long_bytes, long_bytes));
    REQUIRE(port.run_until_taken(1));
    CHECK(port.served.taken.front()->body.size() == long_bytes);
    CHECK(run_until(port.served.loop, [&] { return port.count_answers("503") == 4; }));
}
