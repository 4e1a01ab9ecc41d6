#include "adapters/caller_port.hpp"

#include "support/blocking_caller.hpp"
#include "support/served_port.hpp"

#include <chrono>
#include <doctest/doctest.h>
#include <memory>
#include <thread>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr std::size_t long_answer_bytes = std::size_t{12} * 1024 * 1024;
// More than the system's buffers on both sides hold several times.
constexpr std::size_t very_long_answer_bytes = std::size_t{48} * 1024 * 1024;
constexpr std::string_view plain_request = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
// Below the idle timeout, and above the limit for bytes that a cut link leaves unacknowledged.
constexpr milliseconds caller_pause{8'000};

// Takes all that the system holds for the caller, until no sweep of the port is in time.
std::size_t read_while_nothing_runs(blocking_caller& caller, milliseconds time)
{
    const time_point begin = event_loop::now();
    std::size_t received = 0;
    while (event_loop::now() - begin < time) {
        received += caller.read(long_answer_bytes).size();
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return received;
}

} // namespace

TEST_CASE("a long answer whose caller reads nothing for less than the idle timeout is not cut")
{
    served_port served;
    blocking_caller caller(served.at);
    caller.write(plain_request);
    served.take()->answer(200, {}, std::string(long_answer_bytes, 'a'));
    served.run_for(caller_pause);
    CHECK(served.read(caller, long_answer_bytes).size() >= long_answer_bytes);
}

TEST_CASE("an answer to a caller with a small window that pauses is not cut")
{
    constexpr std::size_t answer_bytes = 60'000;
    constexpr int window_bytes = 4096;
    served_port served;
    blocking_caller caller(served.at, window_bytes);
    caller.write(plain_request);
    served.take()->answer(200, {}, std::string(answer_bytes, 'a'));
    served.run_for(caller_pause);
    CHECK(served.read(caller, answer_bytes).size() >= answer_bytes);
}

TEST_CASE("an answer is not cut while its caller pauses and the next request is behind it")
{
    served_port served;
    blocking_caller caller(served.at);
    caller.write(plain_request);
    served.take()->answer(200, {}, std::string(long_answer_bytes, 'a'));
    caller.write(plain_request);
    served.take();
    served.run_for(caller_pause);
    CHECK(served.read(caller, long_answer_bytes).size() >= long_answer_bytes);
}

TEST_CASE("a stream in small parts is not cut while its caller pauses")
{
    constexpr std::size_t part_bytes = 8'000;
    constexpr milliseconds part_interval{200};
    served_port served;
    blocking_caller caller(served.at);
    caller.write(plain_request);
    const std::shared_ptr<caller_exchange> stream = served.take();
    stream->start(200, {});
    for (milliseconds passed{0}; passed < caller_pause && !stream->gone(); passed = passed + part_interval) {
        stream->write(std::string(part_bytes, 'a'));
        served.run_for(part_interval);
    }
    CHECK_FALSE(stream->gone());
}

TEST_CASE("a caller that pauses a second time is not cut sooner")
{
    served_port served;
    blocking_caller caller(served.at);
    for (int i = 0; i < 2; ++i) {
        caller.write(plain_request);
        served.take()->answer(200, {}, std::string(long_answer_bytes, 'a'));
        served.run_for({5'000});
        CHECK(served.read(caller, long_answer_bytes).size() >= long_answer_bytes);
    }
}

TEST_CASE("an answer is not cut while its caller pauses, once it has emptied the system's buffers before")
{
    constexpr milliseconds standstill{300};
    constexpr int steps = 4;
    served_port served(very_long_answer_bytes * 16);
    blocking_caller caller(served.at);
    caller.write(plain_request);
    served.take()->answer(200, {}, std::string(very_long_answer_bytes, 'a'));
    std::size_t received = 0;
    for (int i = 0; i < steps; ++i) {
        served.run_for({20});
        received += read_while_nothing_runs(caller, standstill);
    }
    served.run_for(caller_pause);
    CHECK(received + served.read(caller, very_long_answer_bytes - received).size() >= very_long_answer_bytes);
}

TEST_CASE(
    "a caller that takes no more of an answer is not served on without end, and one that takes a little is")
{
    constexpr int window_bytes = 4096;
    constexpr std::size_t step_bytes = 2'000;
    constexpr int reads = 24;
    served_port served;
    served.set_idle_timeout({1'000});
    blocking_caller caller(served.at, window_bytes);
    caller.write(plain_request);
    const std::shared_ptr<caller_exchange> stream = served.take();
    bool is_told = false;
    stream->on_gone = [&is_told] { is_told = true; };
    stream->start(200, {});
    stream->write(std::string(long_answer_bytes, 'a'));
    for (int i = 0; i < reads; ++i) {
        served.run_for({250});
        caller.read(step_bytes);
    }
    CHECK_FALSE(stream->gone());
    CHECK(run_until(served.loop, [&] { return stream->gone(); }, {7'000}));
    CHECK(is_told);
}
