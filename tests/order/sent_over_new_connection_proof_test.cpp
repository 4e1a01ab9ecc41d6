#include "adapters/http_client.hpp"
#include "daemon/service_call.hpp"

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace dandelionstep;

namespace {

//! What the raw server does with an accepted connection.
enum class behaviour { close_unread, close_after_some, close_after_all, cut_answer, answer, silent };

//! A TCP server that counts connections and complete requests; it uses no HTTP library.
class raw_server {
public:
    raw_server()
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        REQUIRE(bind(this->listener, reinterpret_cast<sockaddr*>(&address), length) == 0);
        REQUIRE(listen(this->listener, 16) == 0);
        getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &length);
        this->at = {"127.0.0.1", ntohs(address.sin_port)};
        this->thread = std::thread([this] { this->serve(); });
    }
    ~raw_server()
    {
        shutdown(this->listener, SHUT_RDWR);
        this->thread.join();
        close(this->listener);
    }
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;
    raw_server(raw_server&&) = delete;
    raw_server& operator=(raw_server&&) = delete;

    endpoint at;
    std::atomic<behaviour> does{behaviour::answer};
    std::atomic<int> connections{0};
    std::atomic<int> requests{0};

private:
    void serve()
    {
        std::vector<std::thread> handlers;
        for (;;) {
            const int connection = accept(this->listener, nullptr, nullptr);
            if (connection < 0) {
                break;
            }
            ++this->connections;
            handlers.emplace_back([this, connection] { this->handle(connection); });
        }
        for (std::thread& each : handlers) {
            each.join();
        }
    }

    void handle(int connection)
    {
        std::string seen;
        while (this->does != behaviour::close_unread) {
            std::array<char, 4096> part{};
            const ssize_t got = recv(connection, part.data(), part.size(), 0);
            if (got <= 0) {
                break;
            }
            seen.append(part.data(), static_cast<std::size_t>(got));
            if (this->does == behaviour::close_after_some) {
                break;
            }
            if (!seen.ends_with("the-body")) {
                continue;
            }
            ++this->requests;
            seen.clear();
            if (!this->respond(connection)) {
                break;
            }
        }
        close(connection);
    }

    bool respond(int connection) const
    {
        const behaviour now = this->does;
        const std::string text = now == behaviour::cut_answer
                                     ? "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly a part"
                                     : "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        if (now == behaviour::answer || now == behaviour::cut_answer) {
            send(connection, text.data(), text.size(), MSG_NOSIGNAL);
        }
        return now == behaviour::answer || now == behaviour::silent;
    }

    int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    std::thread thread;
};

http_result send_order_to(const endpoint& at, event_loop& loop, http_client& http,
                          milliseconds timeout = {400})
{
    service_call call;
    call.id = request_id("r1");
    call.method = "POST";
    call.path = "/orders";
    call.key = order_key("lye-1");
    call.body = "the-body";
    call.timeout = timeout;
    http_result answer;
    int answers = 0;
    http.send(at, to_http_request(call), [&](const http_result& result) {
        ++answers;
        answer = result;
        loop.stop();
    });
    loop.run();
    // The HTTP library might retry after it has reported the failure.
    const event_loop::timer later = loop.run_after({300}, [&] { loop.stop(); });
    loop.run();
    CHECK(answers == 1);
    return answer;
}

} // namespace

TEST_CASE("an order is sent once, over one new connection, even if the target breaks it")
{
    struct row {
        std::string when;
        behaviour does;
        bool answered;
        int most_requests;
    };
    const std::vector<row> rows{
        {"closed without reading", behaviour::close_unread, false, 0},
        {"closed in the middle of the request", behaviour::close_after_some, false, 0},
        {"closed after the whole request", behaviour::close_after_all, false, 1},
        {"closed in the middle of the answer", behaviour::cut_answer, false, 1},
        {"no answer before the timeout", behaviour::silent, false, 1},
        {"answered", behaviour::answer, true, 1},
    };
    for (const row& each : rows) {
        CAPTURE(each.when);
        raw_server server;
        server.does = each.does;
        {
            event_loop loop;
            http_client http(loop);
            const http_result result = send_order_to(server.at, loop, http);
            CHECK(result.answered() == each.answered);
            CHECK(result.bytes_sent);
        }
        CHECK(server.connections == 1);
        CHECK(server.requests == each.most_requests);
    }
}

TEST_CASE("an order never uses a kept-alive connection, whose failure would leave the outcome unknown")
{
    raw_server server;
    {
        event_loop loop;
        http_client http(loop);
        for (int i = 1; i <= 3; ++i) {
            CHECK(send_order_to(server.at, loop, http).answered());
            CHECK(server.connections == i);
        }
    }
    CHECK(server.requests == 3);
}

TEST_CASE("a refused connection proves that no byte was sent")
{
    endpoint closed;
    {
        const raw_server server;
        closed = server.at;
    }
    event_loop loop;
    http_client http(loop);
    const http_result result = send_order_to(closed, loop, http);
    CHECK(result.failure == http_failure::not_connected);
    CHECK_FALSE(result.bytes_sent);
}
