#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "common/json.hpp"
#include "support/scripted_cluster.hpp"

#include <doctest/doctest.h>
#include <string>
#include <string_view>
#include <vector>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr std::size_t engines = 3;
constexpr int events_in_stream = 5;
constexpr const char* events_type = "Content-Type: text/event-stream\r\n";

std::string event(int id)
{
    return absl::StrCat("id: ", id, "\ndata: part ", id, "\n\n");
}

std::string events(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id) {
        text += event(id);
    }
    return text;
}

std::string stream_head(std::string_view lines = events_type)
{
    return absl::StrCat("HTTP/1.1 200 OK\r\nDandelionstep-Server-Signature: s.1\r\n", std::string(lines),
                        "Transfer-Encoding: chunked\r\n\r\n");
}

std::string chunk(std::string_view text)
{
    return absl::StrCat(absl::Hex(text.size()), "\r\n", std::string(text), "\r\n");
}

std::string chunked_stream(std::string_view text, std::string_view lines = events_type)
{
    return absl::StrCat(stream_head(lines), text.empty() ? "" : chunk(text), "0\r\n\r\n");
}

// An answer that ends with its connection.
std::string open_stream(std::string_view text)
{
    return absl::StrCat("HTTP/1.1 200 OK\r\nDandelionstep-Server-Signature: s.1\r\n", events_type, "\r\n",
                        std::string(text));
}

// What an engine writes before it ends the connection.
struct engine_bytes {
    std::string name;
    std::string bytes;
    //! Whether its process ends with them.
    bool ends_process = false;
};

// Breaks off in the middle of the third event.
const engine_bytes broken_off = {"broken off",
                                 absl::StrCat(stream_head(), chunk(events(1, 2) + "id: 3\nda"))};
const engine_bytes going_on = {"going on", chunked_stream(events(3, events_in_stream))};

class stream_cluster {
public:
    stream_cluster() : cluster(engines)
    {
        this->cluster.handle = [this](const arrival& request) { this->answer(request); };
    }

    bool become_ready()
    {
        const bool is_ready = this->cluster.become_ready([](json& config) {
            config["Routes"][0]["MaxAttempts"] = engines;
            config["Services"][0]["Engine"]["Kinds"][0]["Megabytes"] = 60'000.0;
        });
        for (std::size_t i = 0; i < engines; ++i) {
            this->cluster.enter(i, {.id = absl::StrCat("i-e", i),
                                    .service = "assistant",
                                    .kind = "small",
                                    .end_layer = entry_layers});
        }
        this->script = {{"whole", chunked_stream(events(1, events_in_stream))}};
        return is_ready && this->cluster.await([this] { return this->ask().whole; });
    }

    // The answer to a stream whose attempts are answered by the script, the rest of them by its last. Engines
    // that failed rest for a while, and a request that finds none is refused.
    raw_answer ask()
    {
        raw_answer answer;
        const time_point until = event_loop::now() + milliseconds{10'000};
        do {
            const std::string attempt = absl::StrCat("a", ++this->asked);
            this->sent = 0;
            answer = this->cluster.ask(request_bytes("POST", "/ask/x", attempt, "", attempt));
        } while (answer.status != 200 && this->sent == 0 && event_loop::now() < until);
        return answer;
    }

    std::vector<engine_bytes> script;
    std::size_t sent = 0;

private:
    void answer(const arrival& request)
    {
        if (!absl::StartsWith(request.head.target, "/ask/")) {
            request.from->write(signed_answer(200, "{}"));
            return;
        }
        const std::size_t step = std::min(this->sent++, this->script.size() - 1);
        request.from->write(this->script[step].bytes);
        if (this->script[step].ends_process) {
            this->cluster.end_process(request.target, *request.from);
        } else {
            request.from->close();
        }
    }

    scripted_cluster cluster;
    int asked = 0;
};

// Answers that are no continuation of a stream, and can't be made one.
std::vector<engine_bytes> wrong_answers()
{
    const std::string error = R"({"error":"out of memory"})";
    const std::string head = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n";
    const std::string signature = "HTTP/1.1 500 X\r\nDandelionstep-Server-Signature: s.1\r\n";
    return {
        {"text error", signed_answer(500, "out of memory", "Content-Type: text/plain\r\n")},
        {"client error", signed_answer(404, error, "Content-Type: application/json\r\n")},
        {"error like events", signed_answer(500, events(3, 4), events_type)},
        {"error that breaks off", absl::StrCat(signature, "Content-Length: 500\r\n\r\n", error)},
        {"not executed", signed_answer(503, error, "Dandelionstep-Not-Executed: 1\r\n")},
        {"JSON with 200", signed_answer(200, error, "Content-Type: application/json\r\n")},
        {"JSON in chunks", chunked_stream(error, "Content-Type: application/json\r\n")},
        {"JSON as event stream", chunked_stream(error + "\n\n")},
        {"JSON at the end", chunked_stream(error)},
        {"unsigned", absl::StrCat("HTTP/1.1 200 OK\r\n", events_type, "Content-Length: ", events(3, 5).size(),
                                  "\r\n\r\n", events(3, 5))},
        {"no content", signed_answer(204, "")},
        {"nothing", open_stream("")},
        {"half an event", chunked_stream("id: 3\nda")},
        {"half an event until the end", open_stream("id: 3\nda")},
        {"error event without an id", chunked_stream("event: error\ndata: " + error + "\n\n")},
        {"data without an id", chunked_stream("data: " + error + "\n\n")},
        {"error's head", chunked_stream(head + error)},
        {"error's head until the end", open_stream(head + error)},
    };
}

// Streams that had begun well and go wrong within the same answer.
std::vector<engine_bytes> spoilt_streams()
{
    const std::string head = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\noops";
    return {
        {"in mid event", absl::StrCat(stream_head(), chunk(events(1, 2) + "id: 3\nda"))},
        {"in mid event until the end", open_stream(events(1, 2) + "id: 3\nda")},
        {"in mid event at the end of the chunks", chunked_stream(events(1, 2) + "id: 3\nda")},
        {"in mid event at the end of its length",
         signed_answer(200, events(1, 2) + "id: 3\nda", events_type)},
        {"in mid chunk", absl::StrCat(stream_head(), chunk(events(1, 2)), "40\r\nid: 3\nda")},
        {"an error's head in a chunk", absl::StrCat(stream_head(), chunk(events(1, 2)), chunk(head))},
        {"an error's head at the end", chunked_stream(events(1, 2) + head)},
        {"an error's head between chunks", absl::StrCat(stream_head(), chunk(events(1, 2)), head)},
        {"an error's head until the end", open_stream(events(1, 2) + head)},
        {"an error's first line", chunked_stream(events(1, 2) + "HTTP/1.1 500 Internal Server Error\r\n")},
    };
}

} // namespace

TEST_CASE(
    "an answer that doesn't go on with a broken stream leaves no byte in it, and no end that looks whole")
{
    stream_cluster cluster;
    REQUIRE(cluster.become_ready());
    for (const engine_bytes& wrong : wrong_answers()) {
        CAPTURE(wrong.name);
        cluster.script = {broken_off, wrong};
        const raw_answer answer = cluster.ask();
        CHECK(answer.status == 200);
        CHECK(answer.body == events(1, 2));
        CHECK_FALSE(answer.whole);
        CHECK(cluster.sent > 1);
    }
}

TEST_CASE("a broken stream goes on at the next engine, also after one that answered something else")
{
    stream_cluster cluster;
    REQUIRE(cluster.become_ready());
    for (const engine_bytes& wrong : wrong_answers()) {
        CAPTURE(wrong.name);
        cluster.script = {broken_off, wrong, going_on};
        const raw_answer answer = cluster.ask();
        CHECK(answer.body == events(1, events_in_stream));
        CHECK(answer.whole);
    }
}

TEST_CASE(
    "a stream that goes wrong within one answer shows its caller whole events alone, and goes on elsewhere")
{
    stream_cluster cluster;
    REQUIRE(cluster.become_ready());
    for (const engine_bytes& spoilt : spoilt_streams()) {
        CAPTURE(spoilt.name);
        cluster.script = {spoilt};
        const raw_answer cut = cluster.ask();
        CHECK(cut.body == events(1, 2));
        CHECK_FALSE(cut.whole);
        cluster.script = {spoilt, going_on};
        const raw_answer answer = cluster.ask();
        CHECK(answer.body == events(1, events_in_stream));
        CHECK(answer.whole);
    }
}

TEST_CASE("a resumed stream of which nothing is left ends whole")
{
    stream_cluster cluster;
    REQUIRE(cluster.become_ready());
    cluster.script = {{"all but the end", absl::StrCat(stream_head(), chunk(events(1, events_in_stream)))},
                      {"nothing left", chunked_stream("")}};
    const raw_answer answer = cluster.ask();
    CHECK(answer.body == events(1, events_in_stream));
    CHECK(answer.whole);
}

TEST_CASE("a stream whose events have no ids is not gone on with, as its caller would get some of them twice")
{
    stream_cluster cluster;
    REQUIRE(cluster.become_ready());
    const std::string first = "data: a\n\n";
    cluster.script = {{"broken off", absl::StrCat(stream_head(), chunk(first))},
                      {"whole", chunked_stream(first + "data: b\n\n")}};
    const raw_answer answer = cluster.ask();
    CHECK(first.starts_with(answer.body));
    CHECK_FALSE(answer.whole);
    CHECK(cluster.sent == 1);
}

// Such an answer ends in order when the process of its engine ends, and was taken for whole after any event.
TEST_CASE("a stream without a length whose engine ends between two events goes on at the next one")
{
    stream_cluster cluster;
    REQUIRE(cluster.become_ready());
    cluster.script = {{"its own end", open_stream(events(1, 2))}};
    CHECK(cluster.ask().body == events(1, 2));
    cluster.script = {{"ends between events", open_stream(events(1, 2)), true}, going_on};
    const raw_answer answer = cluster.ask();
    CHECK(answer.body == events(1, events_in_stream));
    CHECK(answer.whole);
    CHECK(cluster.sent == 2);
}
