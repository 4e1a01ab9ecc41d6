#include "adapters/http_client.hpp"

#include "support/scripted_peer.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr std::size_t megabyte = std::size_t{1024} * 1024;

// Answers each connection's first bytes with `head`, and then with `part` for as long as somebody reads.
class endless_server {
public:
    endless_server(event_loop& loop, std::string head_in, std::string part_in)
        : head(std::move(head_in)), part(std::move(part_in)),
          server(loop, [this](raw_connection& connection) { this->take(connection); }),
          timer(loop.run_every({1}, [this] { this->write_more(); }))
    {}

    [[nodiscard]] endpoint address() const { return this->server.address(); }

private:
    void take(raw_connection& connection)
    {
        if (std::ranges::find(this->open, &connection) == this->open.end()) {
            this->open.push_back(&connection);
            connection.write(this->head);
        }
    }

    void write_more()
    {
        for (raw_connection* one : this->open) {
            if (!one->closed) {
                one->write(this->part);
            }
        }
    }

    std::string head;
    std::string part;
    std::vector<raw_connection*> open;
    scripted_server server;
    event_loop::timer timer;
};

http_request plain_request()
{
    http_request request;
    request.path = "/";
    request.timeout = milliseconds{4'000};
    return request;
}

} // namespace

TEST_CASE("a response whose head does not end is given up before the request's time is over")
{
    event_loop loop;
    http_client client(loop);
    endless_server server(loop, "HTTP/1.1 200 OK\r\n", "A: " + std::string(10'000, 'x') + "\r\n");
    std::vector<http_result> results;
    client.send(server.address(), plain_request(),
                [&](const http_result& result) { results.push_back(result); });
    REQUIRE(run_until(loop, [&] { return !results.empty(); }));
    CHECK(results.front().failure == http_failure::broken);
    CHECK(results.front().bytes_sent);
}

TEST_CASE("bodies that come without end at the same time are bounded together")
{
    constexpr std::size_t asked = 12;
    event_loop loop;
    http_client client(loop, std::make_shared<byte_budget>(byte_budget{10 * megabyte, 0}));
    endless_server server(loop, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                          "10000\r\n" + std::string(std::size_t{64} * 1024, 'x') + "\r\n");
    std::vector<http_result> results;
    for (std::size_t i = 0; i < asked; ++i) {
        client.send(server.address(), plain_request(),
                    [&](const http_result& result) { results.push_back(result); });
    }
    REQUIRE(run_until(loop, [&] { return results.size() == asked; }, {3'000}));
    for (const http_result& one : results) {
        CHECK(one.failure == http_failure::broken);
        CHECK(one.body.size() < 3 * megabyte);
    }
}

TEST_CASE("a body that ends is whole beside others, and its room is free again")
{
    constexpr std::size_t body_bytes = megabyte;
    event_loop loop;
    const auto budget = std::make_shared<byte_budget>(byte_budget{10 * megabyte, 0});
    http_client client(loop, budget);
    scripted_server server(loop, [&](raw_connection& connection) {
        if (std::exchange(connection.received, {}).ends_with("\r\n\r\n")) {
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n");
            connection.write(std::string(body_bytes, 'x'));
        }
    });
    for (int round = 0; round < 20; ++round) {
        std::vector<http_result> results;
        client.send(server.address(), plain_request(),
                    [&](const http_result& result) { results.push_back(result); });
        REQUIRE(run_until(loop, [&] { return !results.empty(); }));
        CHECK(results.front().answered());
        CHECK(results.front().body.size() == body_bytes);
    }
    CHECK(run_until(loop, [&] { return budget->held == 0; }));
}
