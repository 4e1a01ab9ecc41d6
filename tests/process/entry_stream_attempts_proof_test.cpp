#include "common/json.hpp"
#include "support/scripted_cluster.hpp"

#include "absl/strings/str_cat.h"

#include <doctest/doctest.h>
#include <vector>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr std::size_t engine_count = 3;
constexpr const char* stream = "s1";

// Engines that each hold the whole model.
bool start_engines(scripted_cluster& cluster, std::size_t count = engine_count)
{
    const bool is_ready = cluster.become_ready([](json& config) {
        for (json& service : config["Services"]) {
            if (service.contains("Engine")) {
                service["Engine"]["LayerMb"] = 100.0;
            }
        }
    });
    for (std::size_t i = 0; i < count; ++i) {
        const json row = {{"Service", "assistant"},
                          {"Address", to_string(cluster.address_of(i))},
                          {"Zone", "n"},
                          {"Version", "v1"},
                          {"Slots", 16},
                          {"State", "ready"},
                          {"Sequence", 1},
                          {"born", 1},
                          {"Kind", "small"},
                          {"Layers", {{"From", 0}, {"To", entry_layers}, {"Version", 1}}}};
        cluster.daemons().write_row("replica", "servers", absl::StrCat("i-x", i), dump(row));
    }
    return is_ready && cluster.await([&] {
        return cluster.daemons().gauge_of(0, "targets") == static_cast<std::int64_t>(2 * count);
    });
}

// The head of a stream's answer, whose events are still to come.
std::string stream_head()
{
    std::string head = signed_answer(200, "", "Content-Type: text/event-stream\r\n");
    const std::string length = "Content-Length: 0";
    head.replace(head.find(length), length.size(), "Transfer-Encoding: chunked");
    return head;
}

std::string chunk(const std::string& text)
{
    return absl::StrCat(absl::Hex(text.size()), "\r\n", text, "\r\n");
}

// Breaks a stream off between its answer's head and the first event.
scripted_cluster::handler break_off_after_head(const std::string& comments = "")
{
    return [comments](const arrival& request) {
        if (request.head.header("Dandelionstep-Attempt-Id") != stream) {
            request.from->write(signed_answer(200, "{}"));
            return;
        }
        request.from->write(absl::StrCat(stream_head(), comments.empty() ? "" : chunk(comments)));
        request.from->close();
    };
}

raw_answer ask_stream(scripted_cluster& cluster)
{
    return cluster.ask(request_bytes("POST", "/ask/x", stream,
                                     "Dandelionstep-Token-Counts: 100,40\r\n"
                                     "Dandelionstep-Deadline-Remaining: 10000\r\n",
                                     "question"));
}

} // namespace

TEST_CASE("an engine that fails a stream after that was sent to another one counts among its attempts")
{
    scripted_cluster cluster(engine_count);
    std::vector<arrival> held;
    cluster.handle = [&](const arrival& request) {
        if (request.head.header("Dandelionstep-Attempt-Id") == stream) {
            held.push_back(request);
        } else {
            // An engine that can't tell what a silent stream waits for is taken for dead.
            request.from->write(signed_answer(request.head.target == "/report" ? 500 : 200, "{}"));
        }
    };
    REQUIRE(start_engines(cluster));
    const auto caller = cluster.connect();
    caller->write(request_bytes("POST", "/ask/x", stream,
                                "Dandelionstep-Token-Counts: 100,40\r\n"
                                "Dandelionstep-Deadline-Remaining: 10000\r\n",
                                "question"));
    REQUIRE(cluster.await([&] { return held.size() == 2; }));
    held[0].from->write(signed_answer(500, "failed"));
    cluster.await([] { return false; }, {100});
    held[1].from->reset();
    cluster.await([&] { return caller->closed || !scripted_cluster::answers_on(*caller).empty(); }, {4'000});
    CHECK(cluster.arrivals_of(stream) == 2);
    CHECK(scripted_cluster::answers_on(*caller).size() == 1);
}

TEST_CASE("a stream whose engines break off before its first event gets a refusal and is not cut")
{
    scripted_cluster cluster(engine_count);
    cluster.handle = break_off_after_head();
    REQUIRE(start_engines(cluster));
    const raw_answer answer = ask_stream(cluster);
    CHECK(cluster.arrivals_of(stream) >= 1);
    CHECK(answer.whole);
    CHECK(answer.status == 502);
}

TEST_CASE("a stream whose engines break off after a comment gets a refusal and is not cut")
{
    scripted_cluster cluster(engine_count);
    cluster.handle = break_off_after_head(": keep-alive\n\n");
    REQUIRE(start_engines(cluster));
    const raw_answer answer = ask_stream(cluster);
    CHECK(cluster.arrivals_of(stream) == 2);
    CHECK(answer.whole);
    CHECK(answer.status == 502);
}

TEST_CASE("a stream whose engine breaks off after a comment gets another engine's answer")
{
    const std::string body = ": one\n\n: two\n\nid: 1\ndata: a\n\n: three\n\nid: 2\ndata: b\n\n";
    scripted_cluster cluster(engine_count);
    const scripted_cluster::handler break_off = break_off_after_head(": lost\n\n: cut");
    cluster.handle = [&](const arrival& request) {
        const bool is_second = cluster.arrivals_of(stream) == 2;
        if (!is_second || request.head.header("Dandelionstep-Attempt-Id") != stream) {
            break_off(request);
            return;
        }
        std::string answer = stream_head();
        for (const char byte : body) {
            answer += chunk(std::string(1, byte));
        }
        request.from->write(answer + "0\r\n\r\n");
    };
    REQUIRE(start_engines(cluster));
    const raw_answer answer = ask_stream(cluster);
    CHECK(cluster.arrivals_of(stream) == 2);
    CHECK(answer.whole);
    CHECK(answer.status == 200);
    CHECK(answer.body == body);
}

TEST_CASE("a stream that four engines refused gets a refusal that tells when to come back, and is not cut")
{
    constexpr std::size_t count = 6;
    scripted_cluster cluster(count);
    cluster.handle = [](const arrival& request) {
        const std::string attempt = request.head.header("Dandelionstep-Attempt-Id");
        if (attempt != stream) {
            request.from->write(signed_answer(200, "{}"));
            return;
        }
        request.from->write(absl::StrCat("HTTP/1.1 503 X\r\nContent-Length: 0\r\n",
                                         "Dandelionstep-Not-Executed: 1\r\n",
                                         "Dandelionstep-Attempt-Id: ", attempt, "\r\n\r\n"));
    };
    REQUIRE(start_engines(cluster, count));
    const raw_answer answer = ask_stream(cluster);
    CHECK(cluster.arrivals_of(stream) == 4);
    CHECK(answer.whole);
    CHECK(answer.status == 503);
    CHECK_FALSE(find_header(answer.headers, "Retry-After").empty());
}
