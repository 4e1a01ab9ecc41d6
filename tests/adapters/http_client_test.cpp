#include "adapters/engine_client.hpp"
#include "adapters/http_client.hpp"
#include "adapters/platform_client.hpp"

#include "support/scripted_peer.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <optional>
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

TEST_CASE("chunks that are announced and come without end at the same time are bounded together")
{
    constexpr std::size_t asked = 12;
    event_loop loop;
    const auto budget = std::make_shared<byte_budget>(byte_budget{10 * megabyte, 0});
    http_client client(loop, budget);
    endless_server server(loop, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3000000\r\n",
                          std::string(std::size_t{64} * 1024, 'x'));
    std::vector<http_result> results;
    for (std::size_t i = 0; i < asked; ++i) {
        client.send(server.address(), plain_request(),
                    [&](const http_result& result) { results.push_back(result); });
    }
    std::size_t most_held = 0;
    REQUIRE(run_until(loop,
                      [&] {
                          most_held = std::max(most_held, budget->held);
                          return results.size() == asked;
                      },
                      {3'000}));
    CHECK(most_held > megabyte);
    CHECK(most_held <= 10 * megabyte);
    CHECK(std::ranges::all_of(results, [](const auto& one) { return one.failure == http_failure::broken; }));
    CHECK(run_until(loop, [&] { return budget->held == 0; }));
}

TEST_CASE("a body in one chunk that fits is whole, and counts once")
{
    // A text alone may take a fifth of the budget.
    constexpr std::size_t body_bytes = std::size_t{0xE6000};
    event_loop loop;
    const auto budget = std::make_shared<byte_budget>(byte_budget{5 * megabyte, 0});
    http_client client(loop, budget);
    scripted_server server(loop, [&](raw_connection& connection) {
        if (std::exchange(connection.received, {}).ends_with("\r\n\r\n")) {
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nE6000\r\n");
            connection.write(std::string(body_bytes, 'x'));
            connection.write("\r\n0\r\n\r\n");
        }
    });
    for (int round = 0; round < 10; ++round) {
        std::vector<http_result> results;
        client.send(server.address(), plain_request(),
                    [&](const http_result& result) { results.push_back(result); });
        REQUIRE(run_until(loop, [&] { return !results.empty(); }));
        CHECK(results.front().body.size() == body_bytes);
    }
    CHECK(run_until(loop, [&] { return budget->held == 0; }));
    CHECK(server.accepted() == 1);
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

namespace {

// Writes `first_answer` to the first request and, on any connection, "second" to those behind it.
struct two_answers_server {
    std::string first_answer;
    int requests = 0;
    scripted_server server;

    two_answers_server(event_loop& loop, std::string first_in)
        : first_answer(std::move(first_in)), server(loop, [this](raw_connection& connection) {
              if (std::exchange(connection.received, {}).ends_with("\r\n\r\n")) {
                  const bool is_first = ++this->requests == 1;
                  connection.write(is_first ? this->first_answer
                                            : "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond");
              }
          })
    {}
};

http_result ask(event_loop& loop, http_client& client, const endpoint& to)
{
    std::vector<http_result> results;
    client.send(to, plain_request(), [&](const http_result& result) { results.push_back(result); });
    REQUIRE(run_until(loop, [&] { return !results.empty(); }));
    return results.front();
}

constexpr std::string_view stray_answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray";

} // namespace

TEST_CASE("a second answer to one request is not the answer to the next")
{
    event_loop loop;
    http_client client(loop);
    two_answers_server target(loop, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst" +
                                        std::string(stray_answer));
    CHECK(ask(loop, client, target.server.address()).body == "first");
    CHECK(ask(loop, client, target.server.address()).body == "second");
}

TEST_CASE("a body behind an answer that has none is not the answer to the next request")
{
    event_loop loop;
    http_client client(loop);
    two_answers_server target(loop, "HTTP/1.1 204 No Content\r\nContent-Length: 43\r\n\r\n" +
                                        std::string(stray_answer));
    CHECK(ask(loop, client, target.server.address()).status == 204);
    CHECK(ask(loop, client, target.server.address()).body == "second");
}

TEST_CASE("an interim answer is not taken for the answer, nor the final one for the next request's")
{
    event_loop loop;
    http_client client(loop);
    two_answers_server target(loop, "HTTP/1.1 103 Early Hints\r\n\r\n" + std::string(stray_answer));
    CHECK(ask(loop, client, target.server.address()).failure == http_failure::broken);
    CHECK(ask(loop, client, target.server.address()).body == "second");
}

TEST_CASE("a status below 100 is no answer, and no part of its body is handed on")
{
    const std::string good = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
    for (const std::string status : {"99", "099", "0", "000"}) {
        for (const std::string before : {"", "HTTP/1.1 100 Continue\r\n\r\n"}) {
            for (const bool is_kept : {false, true}) {
                CAPTURE(status);
                CAPTURE(before);
                CAPTURE(is_kept);
                event_loop loop;
                http_client client(loop);
                const std::string odd =
                    absl::StrCat(before, "HTTP/1.1 ", status, " Odd\r\nContent-Length: 5\r\n\r\nstray");
                two_answers_server target(loop, is_kept ? good : odd);
                if (is_kept) {
                    CHECK(ask(loop, client, target.server.address()).body == "first");
                    target.requests = 0;
                    target.first_answer = odd;
                }
                std::string parts;
                std::vector<http_result> results;
                client.stream(
                    target.server.address(), plain_request(), [&](std::string_view part) { parts += part; },
                    [&](const http_result& result) { results.push_back(result); });
                REQUIRE(run_until(loop, [&] { return !results.empty(); }));
                CHECK(results.front().failure == http_failure::broken);
                CHECK(results.front().status == 0);
                CHECK(results.front().body.empty());
                CHECK(parts.empty());
                CHECK(ask(loop, client, target.server.address()).body == "second");
            }
        }
    }
}

TEST_CASE("a status below 100 leaves open whether the platform wrote, and tells nothing of an engine")
{
    constexpr milliseconds timeout{4'000};
    for (const std::string status : {"99", "000"}) {
        CAPTURE(status);
        event_loop loop;
        http_client client(loop);
        scripted_server target(loop, [&](raw_connection& connection) {
            if (std::exchange(connection.received, {}).find("\r\n\r\n") != std::string::npos) {
                connection.write("HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\n{}");
            }
        });
        const time_point began = event_loop::now();
        platform_client store(client, target.address(), timeout);
        std::optional<commit_answer> committed;
        store.commit({}, [&](const commit_answer& answer) { committed = answer; });
        REQUIRE(run_until(loop, [&] { return committed.has_value(); }));
        CHECK(committed->result == commit_result::outcome_unknown);
        engine_client engines(client);
        std::optional<load_answer> load;
        engines.read_load(target.address(), timeout, [&](const load_answer& answer) { load = answer; });
        REQUIRE(run_until(loop, [&] { return load.has_value(); }));
        CHECK_FALSE(load->report.has_value());
        CHECK(event_loop::now() - began < timeout);
    }
}

// Half of a response that its target's death cut was taken for a whole one, as both end in order.
TEST_CASE("an answer without a length is whole only if its target still listens")
{
    for (const bool dies : {false, true}) {
        for (const bool in_parts : {false, true}) {
            CAPTURE(dies);
            CAPTURE(in_parts);
            event_loop loop;
            http_client client(loop);
            std::unique_ptr<scripted_server> server;
            server = std::make_unique<scripted_server>(loop, [&](raw_connection& connection) {
                connection.write("HTTP/1.1 200 OK\r\n\r\nhalf");
                if (dies) {
                    server->stop_listening();
                }
                connection.close();
            });
            std::vector<http_result> results;
            std::string parts;
            const auto done = [&](const http_result& result) { results.push_back(result); };
            if (in_parts) {
                client.stream(
                    server->address(), plain_request(), [&](std::string_view part) { parts += part; }, done);
            } else {
                client.send(server->address(), plain_request(), done);
            }
            REQUIRE(run_until(loop, [&] { return !results.empty(); }));
            CHECK(results.front().failure == (dies ? http_failure::broken : http_failure::none));
            CHECK(parts + results.front().body == "half");
        }
    }
}

TEST_CASE("a request does not go to a kept connection on which something lies unread")
{
    for (const bool is_end : {true, false}) {
        CAPTURE(is_end);
        event_loop loop;
        http_client client(loop);
        raw_connection* first = nullptr;
        scripted_server target(loop, [&](raw_connection& connection) {
            if (std::exchange(connection.received, {}).ends_with("\r\n\r\n")) {
                first = first == nullptr ? &connection : first;
                connection.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright");
            }
        });
        ask(loop, client, target.address());
        if (is_end) {
            first->end_writing();
        } else {
            first->write(stray_answer);
        }
        const http_result next = ask(loop, client, target.address());
        CHECK(next.answered());
        CHECK(next.body == "right");
    }
}

TEST_CASE("a request does not go to a kept connection on which something came after the answer")
{
    event_loop loop;
    http_client client(loop);
    raw_connection* first = nullptr;
    int requests_on_first = 0;
    scripted_server target(loop, [&](raw_connection& connection) {
        if (std::exchange(connection.received, {}).ends_with("\r\n\r\n")) {
            first = first == nullptr ? &connection : first;
            const bool is_second_there = &connection == first && ++requests_on_first == 2;
            connection.write(is_second_there ? stray_answer
                                             : "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright");
        }
    });
    ask(loop, client, target.address());
    first->write("HTTP/1.1 100 Continue\r\n\r\n");
    run_until(loop, [] { return false; }, {30});
    CHECK(ask(loop, client, target.address()).body == "right");
}
