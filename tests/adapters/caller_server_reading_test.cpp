#include "adapters/caller_server.hpp"

#include "support/blocking_caller.hpp"
#include "support/cluster.hpp"
#include "support/scripted_peer.hpp"

#include <doctest/doctest.h>
#include <memory>
#include <string>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

// More than the system's buffers on both sides hold.
constexpr std::size_t long_answer_bytes = std::size_t{12} * 1024 * 1024;
constexpr std::size_t step_bytes = std::size_t{256} * 1024;
constexpr milliseconds short_timeout{300};
constexpr milliseconds long_timeout{60'000};
constexpr std::string_view plain_request = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
constexpr std::string_view last_request = "GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

struct answering_server {
    event_loop loop;
    std::size_t answer_bytes;
    endpoint at{"127.0.0.1", free_port()};
    caller_server server;

    answering_server(const caller_limits& limits, std::size_t answer_bytes_in)
        : answer_bytes(answer_bytes_in),
          server(loop, limits, [this](const received_request&, const std::shared_ptr<caller_reply>& reply) {
              reply->send(200, std::string(this->answer_bytes, 'a'), "text/plain");
          })
    {
        REQUIRE(this->server.listen(this->at).ok());
    }

    void run_for(milliseconds time)
    {
        run_until(
            this->loop, [] { return false; }, time);
    }

    // Reads a part at a time until the answer is whole, the connection ends or brings nothing more.
    std::size_t read_slowly(blocking_caller& caller, std::size_t step, milliseconds pause)
    {
        constexpr int most_empty_reads = 20;
        std::size_t received = 0;
        for (int empty_reads = 0;
             empty_reads < most_empty_reads && received < this->answer_bytes && !caller.has_ended();) {
            this->run_for(pause);
            const std::size_t got = caller.read(step).size();
            empty_reads = got == 0 ? empty_reads + 1 : 0;
            received += got;
        }
        return received;
    }

    bool is_left_by_all(milliseconds within)
    {
        return run_until(
            this->loop, [this] { return this->server.connections() == 0; }, within);
    }
};

caller_limits limits_of(milliseconds receive_timeout, milliseconds send_timeout)
{
    caller_limits limits;
    limits.receive_timeout = receive_timeout;
    limits.send_timeout = send_timeout;
    return limits;
}

} // namespace

TEST_CASE("dandelionstepd does not cut an answer that takes its caller longer than the receive timeout")
{
    for (const std::string_view request : {plain_request, last_request}) {
        CAPTURE(request);
        answering_server served(limits_of(short_timeout, long_timeout), long_answer_bytes);
        blocking_caller caller(served.at);
        caller.write(request);
        CHECK(served.read_slowly(caller, step_bytes, {50}) >= long_answer_bytes);
    }
}

TEST_CASE("dandelionstepd does not cut an answer that is read more slowly than the system asks for more")
{
    answering_server served(limits_of(long_timeout, short_timeout), long_answer_bytes);
    blocking_caller caller(served.at);
    caller.write(plain_request);
    CHECK(served.read_slowly(caller, step_bytes, {200}) >= long_answer_bytes);
}

TEST_CASE("dandelionstepd cuts a caller that takes nothing within the send timeout")
{
    answering_server served(limits_of(long_timeout, short_timeout), long_answer_bytes);
    blocking_caller caller(served.at);
    caller.write(plain_request);
    REQUIRE(run_until(served.loop, [&] { return served.server.unfinished() == 1; }));
    CHECK(served.is_left_by_all({3'000}));
}

TEST_CASE(
    "a second request on a kept connection has the receive timeout to become whole, and not the wait for it")
{
    answering_server served(limits_of(short_timeout, long_timeout), 1);
    blocking_caller caller(served.at);
    caller.write(plain_request);
    CHECK(served.read_slowly(caller, step_bytes, {10}) > 0);
    served.run_for(short_timeout * 3);
    CHECK(served.server.connections() == 1);
    caller.write(plain_request.substr(0, 10));
    CHECK(served.is_left_by_all({3'000}));
}

TEST_CASE(
    "a caller of dandelionstepd that ends its own direction gets its ready answer, and its connection ends")
{
    for (const std::size_t answer_bytes : {std::size_t{10}, long_answer_bytes}) {
        CAPTURE(answer_bytes);
        answering_server served(limits_of(long_timeout, long_timeout), answer_bytes);
        blocking_caller caller(served.at);
        caller.write(plain_request);
        caller.end_writing();
        CHECK(served.read_slowly(caller, step_bytes, {10}) >= answer_bytes);
        CHECK(served.is_left_by_all({2'000}));
    }
}
