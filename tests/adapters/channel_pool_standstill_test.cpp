#include "adapters/channel_pool.hpp"

#include "support/scripted_peer.hpp"

#include <atomic>
#include <chrono>
#include <doctest/doctest.h>
#include <thread>
#include <vector>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr const char* plain_request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
constexpr const char* plain_answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// More than the loop reads in one turn; sent a few at a time, so that no turn before takes more than those.
constexpr int requests = 160;
constexpr int sent_at_once = 16;

// A target on a loop of its own, which answers all requests when the last of them has come and a little
// later.
class answering_target {
public:
    answering_target()
    {
        std::atomic<bool> is_ready = false;
        this->runner = std::thread([this, &is_ready] { this->serve(is_ready); });
        is_ready.wait(false);
    }
    ~answering_target()
    {
        this->loop.post([this] { this->loop.stop(); });
        this->runner.join();
    }
    answering_target(const answering_target&) = delete;
    answering_target& operator=(const answering_target&) = delete;
    answering_target(answering_target&&) = delete;
    answering_target& operator=(answering_target&&) = delete;

    std::atomic<int> received = 0;
    endpoint address;

private:
    void serve(std::atomic<bool>& is_ready)
    {
        std::vector<raw_connection*> waiting;
        event_loop::timer answer;
        scripted_server server(this->loop, [&](raw_connection& connection) {
            waiting.push_back(&connection);
            if (++this->received == requests) {
                answer = this->loop.run_after({50}, [&] {
                    for (raw_connection* const one : waiting) {
                        one->write(plain_answer);
                    }
                });
            }
        });
        this->address = server.address();
        is_ready = true;
        is_ready.notify_one();
        this->loop.run();
    }

    event_loop loop;
    std::thread runner;
};

} // namespace

TEST_CASE("an answer that came during a standstill is delivered rather than timed out")
{
    answering_target target;
    event_loop loop;
    channel_pool pool(loop);
    int delivered = 0;
    int timed_out = 0;
    std::vector<event_loop::timer> timeouts(requests);
    std::vector<std::weak_ptr<channel_pool::exchange>> sent;
    while (sent.size() < timeouts.size()) {
        for (int i = 0; i < sent_at_once; ++i) {
            exchange_callbacks callbacks;
            callbacks.on_end = [&, number = sent.size()](exchange_end end, bool) {
                timeouts[number] = {};
                delivered += end == exchange_end::complete ? 1 : 0;
            };
            sent.push_back(pool.send(target.address, plain_request, {}, std::move(callbacks)));
        }
        REQUIRE(run_until(loop, [&] { return target.received == static_cast<int>(sent.size()); }));
    }
    for (std::size_t i = 0; i < sent.size(); ++i) {
        timeouts[i] = loop.run_after({150}, [&pool, &timed_out, one = sent[i]] {
            ++timed_out;
            pool.cancel(one);
        });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    run_until(loop, [&] { return delivered + timed_out >= requests; });
    CHECK(delivered == requests);
    CHECK(timed_out == 0);
}
