#include "common/json.hpp"
#include "support/cluster.hpp"
#include "support/entry_cluster.hpp"
#include "support/peak_memory.hpp"
#include "support/scripted_cluster.hpp"

#include <algorithm>
#include <chrono>
#include <doctest/doctest.h>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr std::size_t callers = 200;
constexpr std::int64_t deadline_ms = 2'000;
constexpr std::int64_t most_memory_kb = 65'536;

struct timed_answer {
    caller_answer answer;
    std::int64_t took_ms = 0;
};

// Answers of all callers, who ask at the same time.
template <typename Ask>
std::vector<timed_answer> ask_together(std::size_t count, const Ask& ask)
{
    std::vector<timed_answer> answers(count);
    std::vector<std::thread> asking;
    for (std::size_t i = 0; i < count; ++i) {
        asking.emplace_back([&, i] {
            const auto began = std::chrono::steady_clock::now();
            answers[i].answer = ask(i);
            answers[i].took_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                                     std::chrono::steady_clock::now() - began)
                                     .count();
        });
    }
    for (std::thread& one : asking) {
        one.join();
    }
    return answers;
}

std::size_t count_answered(const std::vector<timed_answer>& answers)
{
    return static_cast<std::size_t>(
        std::ranges::count(answers, 200, [](const timed_answer& one) { return one.answer.status; }));
}

std::string name_of_caller(const std::string& kind, std::size_t index)
{
    return kind + "-" + std::to_string(index);
}

} // namespace

// The load that it answers: a replica whose answers go on until the connection is closed.
TEST_CASE("answers without end take little memory, and lookups are answered by other replicas")
{
    entry_cluster cluster(usual_entry_plan());
    REQUIRE(cluster.become_ready());
    cluster.set_faults("i-o1", {{"endless", 1'000'000}});
    const std::vector<timed_answer> answers =
        ask_together(callers, [&](std::size_t i) { return cluster.look_up(0, name_of_caller("lookup", i)); });
    for (const timed_answer& one : answers) {
        CHECK(one.took_ms <= deadline_ms);
        CHECK(one.answer.whole);
    }
    CHECK(count_answered(answers) >= callers * 9 / 10);
    CHECK(cluster.gauge_of(0, "answer_bytes_held") == 0);
    CHECK(peak_memory_kb(cluster.processes.at("daemon0")) < most_memory_kb);
}

TEST_CASE("an order whose answer does not end fails before its deadline, and the others are answered")
{
    entry_cluster cluster(usual_entry_plan());
    REQUIRE(cluster.become_ready());
    cluster.set_faults("i-o1", {{"endless", 1'000'000}});
    const std::vector<timed_answer> answers = ask_together(callers, [&](std::size_t i) {
        return cluster.order(0, name_of_caller("order", i), name_of_caller("body", i));
    });
    for (std::size_t i = 0; i < answers.size(); ++i) {
        CAPTURE(i);
        CHECK(answers[i].took_ms <= deadline_ms);
        CHECK(answers[i].answer.whole);
        CHECK(cluster.runs_of(name_of_caller("order", i)) <= 1);
    }
    CHECK(count_answered(answers) >= callers / 2);
    CHECK(cluster.gauge_of(0, "responses_overlong") > 0);
    CHECK(cluster.gauge_of(0, "answer_bytes_held") == 0);
    CHECK(peak_memory_kb(cluster.processes.at("daemon0")) < most_memory_kb);
}

TEST_CASE("a stream whose engine sends an event without end goes on through other engines")
{
    entry_cluster cluster(usual_entry_plan());
    REQUIRE(cluster.become_ready());
    for (const std::string& id : cluster.replica_ids()) {
        if (id.find("-e") != std::string::npos) {
            cluster.set_faults(id, {{"endless", 1}});
            break;
        }
    }
    const std::vector<timed_answer> answers = ask_together(8, [&](std::size_t i) {
        return cluster.stream(0, name_of_caller("stream", i), name_of_caller("question", i));
    });
    for (std::size_t i = 0; i < answers.size(); ++i) {
        CAPTURE(i);
        CHECK(is_whole_stream(answers[i].answer, name_of_caller("question", i)));
    }
    CHECK(peak_memory_kb(cluster.processes.at("daemon0")) < most_memory_kb);
}

TEST_CASE("heads that come without end from many targets at once take little memory")
{
    constexpr std::size_t asked = 600;
    // Just under what the parser takes of one head.
    constexpr std::size_t head_bytes = std::size_t{78} * 1024;
    scripted_cluster cluster(3);
    REQUIRE(cluster.become_ready());
    std::vector<raw_connection*> held;
    cluster.handle = [&](const arrival& request) {
        if (!request.head.header("Dandelionstep-Attempt-Id").starts_with("endless")) {
            request.from->write(signed_answer_to(request, 200, "ok"));
            return;
        }
        request.from->write("HTTP/1.1 200 OK\r\n");
        held.push_back(request.from);
    };
    std::vector<std::shared_ptr<raw_connection>> open;
    for (std::size_t i = 0; i < asked; ++i) {
        open.push_back(cluster.connect());
        open.back()->write(request_bytes("POST", "/order/x", name_of_caller("endless", i), "", "a"));
    }
    cluster.await([&] { return held.size() >= asked; }, {1'000});
    CHECK(held.size() > asked / 2);
    std::size_t sent = 0;
    for (; sent < head_bytes; sent += 1'024) {
        for (raw_connection* one : held) {
            one->write("A: " + std::string(1'019, 'x') + "\r\n");
        }
        cluster.await([] { return false; }, {5});
    }
    CHECK(cluster.ask(request_bytes("GET", "/look/x", "short")).status == 200);
    CHECK(cluster.daemons().gauge_of(0, "responses_overlong") > 0);
    CHECK(cluster.daemons().gauge_of(0, "answer_bytes_held") > 0);
    MESSAGE(peak_memory_kb(cluster.daemons().processes.at("daemon0")), " kB, ", held.size(), " heads");
    CHECK(peak_memory_kb(cluster.daemons().processes.at("daemon0")) < most_memory_kb);
    CHECK(cluster.await(
        [&] { return std::ranges::all_of(open, [](const auto& one) { return !one->received.empty(); }); }));
    CHECK(cluster.daemons().gauge_of(0, "answer_bytes_held") == 0);
}
