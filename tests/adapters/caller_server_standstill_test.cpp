#include "adapters/caller_server.hpp"

#include "support/blocking_caller.hpp"
#include "support/cluster.hpp"
#include "support/scripted_peer.hpp"

#include <chrono>
#include <doctest/doctest.h>
#include <memory>
#include <thread>
#include <vector>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr int many = 200;
constexpr milliseconds receive_timeout{300};
constexpr std::string_view plain_request = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

struct counting_server {
    event_loop loop;
    int handled = 0;
    endpoint at{"127.0.0.1", free_port()};
    caller_server server{loop, limits(),
                         [this](const received_request&, const std::shared_ptr<caller_reply>& reply) {
                             ++this->handled;
                             reply->send(200, "x", "text/plain");
                         }};

    static caller_limits limits()
    {
        caller_limits limits;
        limits.receive_timeout = receive_timeout;
        return limits;
    }

    std::vector<std::unique_ptr<blocking_caller>> connect_many()
    {
        REQUIRE(this->server.listen(this->at).ok());
        std::vector<std::unique_ptr<blocking_caller>> callers;
        callers.reserve(many);
        for (int i = 0; i < many; ++i) {
            callers.push_back(std::make_unique<blocking_caller>(this->at));
        }
        REQUIRE(run_until(this->loop, [&] { return this->server.connections() == many; }, {200}));
        return callers;
    }
};

} // namespace

TEST_CASE("dandelionstepd leaves no request without an answer that came while it stood still")
{
    counting_server served;
    const auto callers = served.connect_many();
    for (const auto& caller : callers) {
        caller->write(plain_request);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(receive_timeout.count * 2));
    run_until(served.loop, [&] { return served.handled == many; }, {2'000});
    CHECK(served.handled == many);
}

TEST_CASE("dandelionstepd ends a connection on which nothing comes within the receive timeout")
{
    counting_server served;
    const auto callers = served.connect_many();
    callers.front()->write(plain_request.substr(0, 10));
    CHECK(run_until(served.loop, [&] { return served.server.connections() == 0; }, {3'000}));
    CHECK(served.handled == 0);
}
