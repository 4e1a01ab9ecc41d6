#include "absl/strings/str_cat.h"
#include "adapters/channel_pool.hpp"

#include "support/scripted_peer.hpp"
#include "support/waiting_target.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <optional>
#include <thread>
#include <vector>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr const char* plain_request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
constexpr std::size_t most_head_bytes = std::size_t{128} * 1024;
constexpr const char* plain_answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nId: 1\r\n\r\nok";

struct observed {
    std::vector<int> statuses;
    std::string body;
    int ends = 0;
    exchange_end end = exchange_end::complete;
    bool reused = false;
};

exchange_callbacks watch(observed& seen)
{
    exchange_callbacks callbacks;
    callbacks.on_head = [&](const http_head& head) { seen.statuses.push_back(head.status); };
    callbacks.on_body = [&](std::string_view part) {
        seen.body += part;
        return true;
    };
    callbacks.on_end = [&](exchange_end end, bool reused) {
        ++seen.ends;
        seen.end = end;
        seen.reused = reused;
    };
    return callbacks;
}

observed exchange_once(event_loop& loop, channel_pool& pool, const endpoint& to, send_options options = {})
{
    observed seen;
    pool.send(to, plain_request, options, watch(seen));
    REQUIRE(run_until(loop, [&] { return seen.ends > 0; }));
    return seen;
}

bool has_whole_request(raw_connection& connection)
{
    if (!connection.received.ends_with("\r\n\r\n")) {
        return false;
    }
    connection.received.clear();
    return true;
}

} // namespace

TEST_CASE("a connection is kept and used again")
{
    event_loop loop;
    scripted_server server(loop, [](raw_connection& connection) {
        if (has_whole_request(connection)) {
            connection.write(plain_answer);
        }
    });
    channel_pool pool(loop);
    CHECK_FALSE(exchange_once(loop, pool, server.address()).reused);
    const observed second = exchange_once(loop, pool, server.address());
    CHECK(second.reused);
    CHECK(second.body == "ok");
    CHECK(server.accepted() == 1);
    CHECK(pool.counts().opened == 1);
}

TEST_CASE("a connection that was idle for longer than allowed is not used")
{
    event_loop loop;
    scripted_server server(loop, [](raw_connection& connection) {
        if (has_whole_request(connection)) {
            connection.write(plain_answer);
        }
    });
    channel_pool pool(loop);
    exchange_once(loop, pool, server.address());
    run_until(loop, [] { return false; }, {60});
    CHECK_FALSE(exchange_once(loop, pool, server.address(), {.most_idle = {20}}).reused);
}

TEST_CASE("how an exchange ends")
{
    struct end_case {
        std::string what;
        std::function<void(raw_connection&)> script;
        exchange_end expected;
    };
    const std::vector<end_case> table{
        {"whole", [](raw_connection& c) { c.write(plain_answer); }, exchange_end::complete},
        {"closed unanswered", [](raw_connection& c) { c.close(); }, exchange_end::broken},
        {"reset unanswered", [](raw_connection& c) { c.reset(); }, exchange_end::broken},
        {"not HTTP", [](raw_connection& c) { c.write("\x05garbage\r\n\r\n"); }, exchange_end::broken},
        {"cut",
         [](raw_connection& c) {
             c.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok");
             c.close();
         },
         exchange_end::broken},
        {"without a length, closed in order",
         [](raw_connection& c) {
             c.write("HTTP/1.1 200 OK\r\n\r\nok");
             c.close();
         },
         exchange_end::complete},
    };
    for (const end_case& one : table) {
        CAPTURE(one.what);
        event_loop loop;
        scripted_server server(loop, [&](raw_connection& connection) {
            if (has_whole_request(connection)) {
                one.script(connection);
            }
        });
        channel_pool pool(loop);
        const observed seen = exchange_once(loop, pool, server.address());
        CHECK(seen.end == one.expected);
        CHECK(seen.ends == 1);
    }
}

// Half of a response that its target's death cut was taken for a whole one, as both end in order.
TEST_CASE("a response without a length is whole only if its target still listens")
{
    struct end_case {
        std::string what;
        std::function<void(scripted_server&, raw_connection&)> end;
        exchange_end expected;
    };
    const std::vector<end_case> table{
        {"closed", [](scripted_server&, raw_connection& c) { c.close(); }, exchange_end::complete},
        {"half closed", [](scripted_server&, raw_connection& c) { c.end_writing(); }, exchange_end::complete},
        {"reset", [](scripted_server&, raw_connection& c) { c.reset(); }, exchange_end::broken},
        {"died",
         [](scripted_server& server, raw_connection& c) {
             server.stop_listening();
             c.close();
         },
         exchange_end::broken},
    };
    for (const end_case& one : table) {
        for (const bool is_kept : {false, true}) {
            CAPTURE(one.what);
            CAPTURE(is_kept);
            event_loop loop;
            bool answers_plainly = is_kept;
            std::unique_ptr<scripted_server> server;
            server = std::make_unique<scripted_server>(loop, [&](raw_connection& connection) {
                if (!has_whole_request(connection)) {
                    return;
                }
                if (std::exchange(answers_plainly, false)) {
                    connection.write(plain_answer);
                    return;
                }
                connection.write("HTTP/1.1 200 OK\r\n\r\nok");
                one.end(*server, connection);
            });
            channel_pool pool(loop);
            if (is_kept) {
                CHECK(exchange_once(loop, pool, server->address()).end == exchange_end::complete);
            }
            const observed seen = exchange_once(loop, pool, server->address());
            CHECK(seen.end == one.expected);
            CHECK(seen.ends == 1);
            if (one.what == "died") {
                // The end is the target's fault, not that of a connection that had gone stale.
                CHECK_FALSE(seen.reused);
                CHECK(pool.counts().unconfirmed_ends == 1);
            }
        }
    }
}

TEST_CASE("a status below 100 ends its exchange as broken, on a kept connection and behind interim heads")
{
    for (const std::string status : {"99", "0", "000"}) {
        for (const std::string before :
             {"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"}) {
            CAPTURE(status);
            CAPTURE(before);
            event_loop loop;
            std::string answer = plain_answer;
            scripted_server server(loop, [&](raw_connection& connection) {
                if (has_whole_request(connection)) {
                    connection.write(answer);
                }
            });
            channel_pool pool(loop);
            CHECK(exchange_once(loop, pool, server.address()).body == "ok");
            // Were it passed over as interim, the answer behind it would be taken.
            answer = absl::StrCat(before, "HTTP/1.1 ", status, " Odd\r\n\r\n", plain_answer);
            const observed seen = exchange_once(loop, pool, server.address());
            CHECK(seen.reused);
            CHECK(seen.end == exchange_end::broken);
            CHECK(seen.statuses.empty());
            CHECK(seen.body.empty());
            answer = plain_answer;
            CHECK_FALSE(exchange_once(loop, pool, server.address()).reused);
        }
    }
}

TEST_CASE("a response whose reader sees whether it is whole ends at once")
{
    event_loop loop;
    scripted_server server(loop, [](raw_connection& connection) {
        if (has_whole_request(connection)) {
            connection.write("HTTP/1.1 200 OK\r\n\r\n{}");
            connection.close();
        }
    });
    channel_pool pool(loop);
    CHECK(exchange_once(loop, pool, server.address(), {.confirms_end = false}).end == exchange_end::complete);
    CHECK(pool.counts().opened == 1);
}

TEST_CASE("an exchange may be cancelled while it is asked whether its target still listens")
{
    event_loop loop;
    scripted_server server(loop, [](raw_connection& connection) {
        if (has_whole_request(connection)) {
            connection.write("HTTP/1.1 200 OK\r\n\r\nok");
            connection.close();
        }
    });
    observed seen;
    channel_pool pool(loop);
    const auto running = pool.send(server.address(), plain_request, {}, watch(seen));
    REQUIRE(run_until(loop, [&] { return seen.body == "ok"; }));
    run_until(loop, [] { return false; }, {5});
    pool.cancel(running);
    run_until(loop, [] { return false; }, {100});
    CHECK(seen.ends == 0);
}

TEST_CASE("a refused connection proves that nothing was sent")
{
    event_loop loop;
    endpoint closed;
    {
        const scripted_server server(loop, [](raw_connection&) {});
        closed = server.address();
    }
    channel_pool pool(loop);
    CHECK(exchange_once(loop, pool, closed).end == exchange_end::not_sent);
}

TEST_CASE("a request that is sent once more goes over no connection that may have carried it")
{
    event_loop loop;
    scripted_server server(loop, [](raw_connection& connection) {
        if (has_whole_request(connection)) {
            connection.write(plain_answer);
        }
    });
    channel_pool pool(loop);
    observed first;
    observed older;
    pool.send(server.address(), plain_request, {}, watch(older));
    pool.send(server.address(), plain_request, {}, watch(first));
    REQUIRE(run_until(loop, [&] { return first.ends > 0 && older.ends > 0; }));
    run_until(loop, [] { return false; }, {5});
    const time_point sent = event_loop::now();
    CHECK(exchange_once(loop, pool, server.address()).reused);
    CHECK(exchange_once(loop, pool, server.address(), {.carried_nothing_since = sent}).reused);
    CHECK_FALSE(exchange_once(loop, pool, server.address(), {.carried_nothing_since = sent}).reused);
    CHECK(pool.counts().opened == 3);
    CHECK(pool.open_connections() == 3);
}

TEST_CASE("a connection tells whether it carried anything before")
{
    event_loop loop;
    scripted_server server(loop, [](raw_connection& connection) {
        if (has_whole_request(connection)) {
            connection.write(plain_answer);
        }
    });
    channel_pool pool(loop);
    bool is_checked = false;
    pool.check(server.address(), {1'000}, [&](connect_result) { is_checked = true; });
    REQUIRE(run_until(loop, [&] { return is_checked; }));
    for (const connection_use expected : {connection_use::unused, connection_use::used}) {
        observed seen;
        std::optional<connection_use> use;
        exchange_callbacks callbacks = watch(seen);
        callbacks.is_own = [&use](const http_head&, connection_use told) {
            use = told;
            return true;
        };
        pool.send(server.address(), plain_request, {}, std::move(callbacks));
        REQUIRE(run_until(loop, [&] { return seen.ends > 0; }));
        CHECK(seen.reused);
        CHECK(use == expected);
    }
}

TEST_CASE(
    "a request that left after the process had been held up past its connect timeout is not called unsent")
{
    constexpr milliseconds connect_timeout{30};
    for (const milliseconds held_up :
         {milliseconds{10}, connect_timeout, milliseconds{35}, milliseconds{120}}) {
        CAPTURE(held_up.count);
        event_loop loop;
        bool has_arrived = false;
        scripted_server server(loop, [&](raw_connection& connection) {
            has_arrived = true;
            if (has_whole_request(connection)) {
                connection.write(plain_answer);
            }
        });
        channel_pool pool(loop);
        observed seen;
        pool.send(server.address(), plain_request, {.connect_timeout = connect_timeout}, watch(seen));
        std::this_thread::sleep_for(std::chrono::milliseconds(held_up.count));
        REQUIRE(run_until(loop, [&] { return seen.ends > 0; }));
        run_until(loop, [] { return false; }, {50});
        CHECK((seen.end == exchange_end::not_sent) != has_arrived);
    }
}

TEST_CASE("bytes after a whole response belong to no request")
{
    event_loop loop;
    scripted_server server(loop, [](raw_connection& connection) {
        if (has_whole_request(connection)) {
            connection.write(absl::StrCat(plain_answer, plain_answer));
        }
    });
    channel_pool pool(loop);
    CHECK(exchange_once(loop, pool, server.address()).body == "ok");
    const observed second = exchange_once(loop, pool, server.address());
    CHECK_FALSE(second.reused);
    CHECK(second.body == "ok");
}

TEST_CASE("bytes that arrive on an idle connection end it")
{
    event_loop loop;
    raw_connection* kept = nullptr;
    scripted_server server(loop, [&](raw_connection& connection) {
        kept = &connection;
        if (has_whole_request(connection)) {
            connection.write(plain_answer);
        }
    });
    channel_pool pool(loop);
    exchange_once(loop, pool, server.address());
    kept->write(plain_answer);
    REQUIRE(run_until(loop, [&] { return pool.open_connections() == 0; }));
    CHECK_FALSE(exchange_once(loop, pool, server.address()).reused);
}

TEST_CASE("a late response to another request is skipped")
{
    event_loop loop;
    scripted_server server(loop, [](raw_connection& connection) {
        if (has_whole_request(connection)) {
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nId: 0\r\n\r\nstale");
            connection.write(plain_answer);
        }
    });
    channel_pool pool(loop);
    observed seen;
    exchange_callbacks callbacks = watch(seen);
    callbacks.is_own = [](const http_head& head, connection_use) { return head.header("Id") == "1"; };
    pool.send(server.address(), plain_request, {}, std::move(callbacks));
    REQUIRE(run_until(loop, [&] { return seen.ends > 0; }));
    CHECK(seen.body == "ok");
    CHECK(pool.counts().skipped_responses == 1);
}

TEST_CASE("a cancelled exchange calls nothing back and its connection is not kept")
{
    event_loop loop;
    raw_connection* server_side = nullptr;
    scripted_server server(loop, [&](raw_connection& connection) { server_side = &connection; });
    channel_pool pool(loop);
    observed seen;
    const auto running = pool.send(server.address(), plain_request, {}, watch(seen));
    REQUIRE(run_until(loop, [&] { return server_side != nullptr; }));
    pool.cancel(running);
    REQUIRE(run_until(loop, [&] { return server_side->closed; }));
    CHECK(seen.ends == 0);
    CHECK(pool.open_connections() == 0);
}

TEST_CASE("a request that is not to be sent any more when its connection is made is not sent")
{
    event_loop loop;
    std::string received;
    scripted_server server(loop, [&](raw_connection& connection) {
        received += connection.received;
        if (has_whole_request(connection)) {
            connection.write(plain_answer);
        }
    });
    channel_pool pool(loop);
    observed seen;
    exchange_callbacks callbacks = watch(seen);
    callbacks.may_send = [] { return false; };
    pool.send(server.address(), plain_request, {}, std::move(callbacks));
    REQUIRE(run_until(loop, [&] { return seen.ends > 0; }));
    run_until(loop, [] { return false; }, {30});
    CHECK(seen.end == exchange_end::withdrawn);
    CHECK(received.empty());
    const observed next = exchange_once(loop, pool, server.address());
    CHECK(next.body == "ok");
    CHECK(next.reused);
    CHECK(seen.ends == 1);
}

TEST_CASE("bytes of a cancelled request that wait in the system do not leave")
{
    constexpr int buffer_bytes = 4'096;
    constexpr std::size_t body_bytes = 200'000;
    event_loop loop;
    waiting_target target(8, buffer_bytes);
    channel_pool pool(loop);
    observed seen;
    const std::string request =
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
        std::string(body_bytes, 'y');
    const auto running = pool.send(target.address(), request, {}, watch(seen));
    run_until(loop, [] { return false; }, {50});
    REQUIRE(target.take_connections() == 1);
    pool.cancel(running);
    run_until(loop, [] { return false; }, {50});
    std::string received;
    CHECK(run_until(loop,
                    [&] {
                        received += target.take_bytes();
                        return target.was_reset();
                    },
                    {500}));
    CHECK(received.size() < request.size());
    CHECK(seen.ends == 0);
}

TEST_CASE("a request does not go over a kept connection whose end was not read yet")
{
    event_loop loop;
    waiting_target target(8);
    channel_pool pool(loop);
    for (int i = 0; i < 2; ++i) {
        observed seen;
        pool.send(target.address(), plain_request, {}, watch(seen));
        REQUIRE(run_until(loop, [&] {
            target.take_connections();
            if (!target.take_bytes().empty()) {
                target.write(plain_answer);
            }
            return seen.ends > 0;
        }));
        CHECK(seen.end == exchange_end::complete);
        CHECK_FALSE(seen.reused);
        target.end_connections();
    }
}

TEST_CASE("an exchange may be cancelled while its response is being read")
{
    event_loop loop;
    scripted_server server(loop, [](raw_connection& connection) {
        if (has_whole_request(connection)) {
            connection.write(plain_answer);
        }
    });
    channel_pool pool(loop);
    std::weak_ptr<channel_pool::exchange> running;
    bool cancelled = false;
    int ends = 0;
    exchange_callbacks callbacks;
    callbacks.on_body = [&](std::string_view) {
        pool.cancel(running);
        cancelled = true;
        return true;
    };
    callbacks.on_end = [&](exchange_end, bool) { ++ends; };
    running = pool.send(server.address(), plain_request, {}, std::move(callbacks));
    REQUIRE(run_until(loop, [&] { return cancelled; }));
    run_until(loop, [] { return false; }, {30});
    CHECK(ends == 0);
}

TEST_CASE("a connection is not kept when its response came before the request had left")
{
    event_loop loop;
    scripted_server server(loop, [](raw_connection& connection) {
        if (connection.received.find("\r\n\r\n") != std::string::npos &&
            connection.received.size() < 200'000) {
            connection.write(plain_answer);
            connection.received.append(200'000, 'x');
        }
    });
    channel_pool pool(loop);
    observed seen;
    constexpr std::size_t more_than_buffers_hold = 32'000'000;
    std::string long_body;
    long_body.resize(more_than_buffers_hold, 'y');
    pool.send(server.address(),
              "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(long_body.size()) +
                  "\r\n\r\n" + long_body,
              {}, watch(seen));
    REQUIRE(run_until(loop, [&] { return seen.ends > 0; }));
    CHECK(seen.end == exchange_end::complete);
    CHECK(pool.open_connections() == 0);
}

namespace {

struct long_head {
    std::string start;
    //! What follows, over and over.
    std::string part;
};

std::string repeated(const std::string& part, int times)
{
    std::string all;
    for (int i = 0; i < times; ++i) {
        all += part;
    }
    return all;
}

} // namespace

TEST_CASE("a response whose head does not end is given up, and counts as the target's fault")
{
    const std::string status_line = "HTTP/1.1 200 OK\r\n";
    constexpr int parts = 5'000;
    const std::vector<long_head> heads{
        {status_line + "Long: ", std::string(1'000, 'x')},
        {status_line, "Name: value\r\n"},
        {"", "HTTP/1.1 102 Processing\r\n\r\n"},
        {status_line + "Transfer-Encoding: chunked\r\n\r\n1;", std::string(1'000, 'x')},
    };
    for (const long_head& head : heads) {
        CAPTURE(head.start);
        event_loop loop;
        scripted_server server(loop, [&](raw_connection& connection) {
            if (has_whole_request(connection)) {
                connection.write(head.start + repeated(head.part, parts));
            }
        });
        channel_pool pool(loop);
        std::size_t told = 0;
        pool.on_overlong([&](const endpoint& /*from*/, std::size_t bytes) { told = bytes; });
        const observed seen = exchange_once(loop, pool, server.address());
        CHECK(seen.end == exchange_end::broken);
        CHECK_FALSE(seen.reused);
        CHECK(pool.counts().overlong_responses == 1);
        CHECK(told > 0);
        CHECK(told <= most_head_bytes);
        CHECK(pool.open_connections() == 0);
    }
}

TEST_CASE("a body that its reader does not want any longer ends the exchange, on a kept connection as well")
{
    event_loop loop;
    bool endless = false;
    scripted_server server(loop, [&](raw_connection& connection) {
        if (has_whole_request(connection)) {
            connection.write(endless ? "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" +
                                           std::string(4'000, 'x')
                                     : std::string(plain_answer));
        }
    });
    channel_pool pool(loop);
    REQUIRE(exchange_once(loop, pool, server.address()).end == exchange_end::complete);
    endless = true;
    observed seen;
    exchange_callbacks callbacks = watch(seen);
    callbacks.on_body = [](std::string_view /*part*/) { return false; };
    pool.send(server.address(), plain_request, {}, std::move(callbacks));
    REQUIRE(run_until(loop, [&] { return seen.ends > 0; }));
    CHECK(seen.end == exchange_end::broken);
    CHECK_FALSE(seen.reused);
    CHECK(server.accepted() == 1);
    CHECK(pool.open_connections() == 0);
}

TEST_CASE("a check tells whether anything listens, and its connection serves the next request")
{
    event_loop loop;
    std::optional<connect_result> found;
    const auto note = [&](connect_result result) { found = result; };
    endpoint gone;
    {
        const scripted_server closed(loop, [](raw_connection& /*connection*/) {});
        gone = closed.address();
    }
    channel_pool pool(loop);
    pool.check(gone, {1'000}, note);
    CHECK_FALSE(found.has_value());
    REQUIRE(run_until(loop, [&] { return found.has_value(); }));
    CHECK((*found == connect_result::refused));
    CHECK(pool.open_connections() == 0);

    scripted_server server(loop, [](raw_connection& connection) {
        if (has_whole_request(connection)) {
            connection.write(plain_answer);
        }
    });
    found.reset();
    pool.check(server.address(), {1'000}, note);
    REQUIRE(run_until(loop, [&] { return found.has_value(); }));
    CHECK((*found == connect_result::reached));
    CHECK(exchange_once(loop, pool, server.address()).body == "ok");
    CHECK(server.accepted() == 1);
}

TEST_CASE("heads that grow at the same time stay within the budget and leave room for short ones")
{
    constexpr int asked = 20;
    const auto budget = std::make_shared<byte_budget>(byte_budget{std::size_t{128} * 1024, 0});
    const std::string long_line = "A: " + std::string(std::size_t{20} * 1024, 'x') + "\r\n";
    event_loop loop;
    int requests = 0;
    scripted_server server(loop, [&](raw_connection& connection) {
        if (has_whole_request(connection)) {
            connection.write(++requests <= asked ? "HTTP/1.1 200 OK\r\n" + long_line : plain_answer);
        }
    });
    channel_pool pool(loop, budget);
    std::vector<observed> seen(asked);
    std::vector<std::weak_ptr<channel_pool::exchange>> sent;
    sent.reserve(asked);
    for (observed& one : seen) {
        sent.push_back(pool.send(server.address(), plain_request, {}, watch(one)));
    }
    const auto ended = [&] { return std::ranges::count(seen, 1, &observed::ends); };
    REQUIRE(run_until(loop, [&] { return requests == asked && ended() > 0; }));
    run_until(loop, [] { return false; }, {100});
    CHECK(budget->held > 0);
    CHECK(budget->held < budget->most);
    CHECK(ended() < asked);
    CHECK(exchange_once(loop, pool, server.address()).end == exchange_end::complete);
    for (const auto& one : sent) {
        pool.cancel(one);
    }
    CHECK(budget->held == 0);
}
