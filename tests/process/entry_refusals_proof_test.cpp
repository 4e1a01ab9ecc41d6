#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "common/json.hpp"
#include "support/cluster.hpp"
#include "support/scripted_cluster.hpp"

#include <array>
#include <doctest/doctest.h>
#include <map>
#include <set>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr const char* attempt_header = "Dandelionstep-Attempt-Id";
constexpr const char* refusal_mark = "Dandelionstep-Not-Executed: 1\r\n";
// The true answer comes so long after a copy of an earlier refusal.
constexpr milliseconds run_time{60};
// After it an engine that refused is used again.
constexpr milliseconds refused_pause{900};

std::string id_line(const std::string& attempt)
{
    return absl::StrCat(attempt_header, ": ", attempt, "\r\n");
}

// A refusal's bytes; `headers` are whole lines.
std::string refusal(const std::string& headers)
{
    return absl::StrCat("HTTP/1.1 503 X\r\nContent-Length: 0\r\n", refusal_mark, headers, "\r\n");
}

// Targets that run what they are asked and answer after a while, and note how often each attempt ran.
struct running_targets {
    scripted_cluster& cluster;
    std::string answer_headers;
    std::string answer_body = "ran";
    std::set<raw_connection*> seen;
    std::map<std::string, int> runs;
    std::vector<event_loop::timer> pending;

    explicit running_targets(scripted_cluster& cluster_in) : cluster(cluster_in) {}

    void run(const arrival& request)
    {
        const std::string id = request.head.header(attempt_header);
        const std::string answer =
            signed_answer(200, this->answer_body, absl::StrCat(id_line(id), this->answer_headers));
        ++this->runs[id];
        this->pending.push_back(this->cluster.loop.run_after(run_time, [from = request.from, answer] {
            if (!from->closed) {
                from->write(answer);
            }
        }));
    }

    // Whether the connection carried a request before.
    bool is_kept(const arrival& request) { return !this->seen.insert(request.from).second; }
};

// First sendings are refused; a copy of that goes out before the answer to each second sending that comes
// over a kept connection.
void refuse_first_sending(running_targets& targets, std::set<std::string>& sent, const arrival& request,
                          const std::string& headers)
{
    const std::string id = request.head.header(attempt_header);
    const std::string refused = refusal(absl::StrCat(id_line(id), headers));
    const bool is_first = sent.insert(id).second;
    if (targets.is_kept(request) || is_first) {
        request.from->write(refused);
    }
    if (!is_first) {
        targets.run(request);
    }
}

constexpr std::int64_t middle_layer = entry_layers / 2;
constexpr std::size_t entry_engine = 1;
constexpr std::size_t engines_end = 8;
constexpr std::string_view event = "id: 1\ndata: a\n\n";

registration engine_entry(std::size_t target)
{
    const bool enters = target == entry_engine;
    registration entry;
    entry.id = absl::StrCat("i-g", target);
    entry.service = "assistant";
    entry.kind = "small";
    entry.first_layer = enters ? 0 : middle_layer;
    entry.end_layer = enters ? middle_layer : entry_layers;
    return entry;
}

std::string report_of(std::size_t target)
{
    const registration entry = engine_entry(target);
    return dump({{"Stage", "both"},
                 {"Models", json::array()},
                 {"Layers", {{"From", entry.first_layer}, {"To", entry.end_layer}, {"Version", 1}}},
                 {"Busy", false},
                 {"Sequence", 0},
                 {"WaitingCount", 0},
                 {"RunningCount", 0},
                 {"CacheUsed", 0},
                 {"CacheTotal", 1'000'000},
                 {"pace", 1.0},
                 {"Stalled", json::array()}});
}

raw_answer ask_stream(scripted_cluster& cluster, const std::string& id)
{
    return cluster.ask(
        request_bytes("POST", "/ask/x", id, "Dandelionstep-Token-Counts: 10,10\r\n", "question"));
}

// One engine at which streams enter and some that hold the other layers; `take_stream` gets the streams,
// which may not be resumed.
bool become_engines(scripted_cluster& cluster, running_targets& targets,
                    const std::function<void(const arrival&)>& take_stream)
{
    targets.answer_headers = "Content-Type: text/event-stream\r\n";
    targets.answer_body = event;
    const auto change = [](json& config) { config["Routes"][0]["Resumable"] = false; };
    if (!cluster.become_ready(change)) {
        return false;
    }
    const auto take = std::make_shared<std::function<void(const arrival&)>>(
        [&targets](const arrival& request) { targets.run(request); });
    cluster.handle = [&targets, take](const arrival& request) {
        if (request.head.target.starts_with("/ask/")) {
            (*take)(request);
            return;
        }
        targets.seen.insert(request.from);
        request.from->write(request.head.target == "/report" ? signed_answer(200, report_of(request.target))
                                                             : "HTTP/1.1 409 X\r\nContent-Length: 0\r\n\r\n");
    };
    for (std::size_t target = entry_engine; target < engines_end; ++target) {
        cluster.remove(target);
        cluster.enter(target, engine_entry(target));
    }
    int warm_ups = 0;
    const bool is_serving =
        eventually([&] { return ask_stream(cluster, absl::StrCat("warm-", warm_ups++)).status == 200; });
    *take = take_stream;
    return is_serving;
}

} // namespace

TEST_CASE(
    "an earlier refusal without an id that a target writes once more is not taken for an order's answer")
{
    for (const std::size_t count : {std::size_t{1}, std::size_t{3}}) {
        CAPTURE(count);
        scripted_cluster cluster(count);
        REQUIRE(cluster.become_ready());
        running_targets targets(cluster);
        int copies = 0;
        cluster.handle = [&](const arrival& request) {
            if (targets.is_kept(request)) {
                ++copies;
                request.from->write(refusal(""));
            }
            targets.run(request);
        };
        for (int i = 0; i < 12; ++i) {
            const std::string id = absl::StrCat("copied-", i);
            const raw_answer answer = cluster.ask(request_bytes("POST", "/order/x", id, "", "x"));
            CAPTURE(id);
            CHECK(answer.status == 200);
            CHECK(targets.runs[id] == 1);
        }
        CHECK(copies >= 3);
    }
}

TEST_CASE(
    "an earlier refusal without an id that an engine writes once more is not taken for a stream's answer")
{
    scripted_cluster cluster(engines_end);
    running_targets targets(cluster);
    int copies = 0;
    REQUIRE(become_engines(cluster, targets, [&](const arrival& request) {
        if (targets.is_kept(request)) {
            ++copies;
            request.from->write(refusal(""));
        }
        targets.run(request);
    }));
    for (int i = 0; i < 6; ++i) {
        const std::string id = absl::StrCat("copied-", i);
        const raw_answer answer = ask_stream(cluster, id);
        CAPTURE(id);
        CHECK(answer.status == 200);
        CHECK(answer.body == event);
        CHECK(targets.runs[id] == 1);
    }
    CHECK(copies >= 3);
}

TEST_CASE(
    "a refusal of an order's first sending, written once more, is not taken for the answer to its second")
{
    scripted_cluster cluster(1);
    REQUIRE(cluster.become_ready());
    running_targets targets(cluster);
    std::set<std::string> sent;
    cluster.handle = [&](const arrival& request) {
        refuse_first_sending(targets, sent, request, "Retry-After: 0.1\r\n");
    };
    for (int i = 0; i < 5; ++i) {
        const std::string id = absl::StrCat("rested-", i);
        const raw_answer answer = cluster.ask(request_bytes("POST", "/order/x", id, "", "x"));
        CAPTURE(id);
        CAPTURE(answer.body);
        CHECK(answer.status == 200);
        CHECK(targets.runs[id] == 1);
    }
}

TEST_CASE("a refusal of a stream's first path, written once more, is not taken for the answer to its second")
{
    scripted_cluster cluster(engines_end);
    running_targets targets(cluster);
    std::set<std::string> sent;
    REQUIRE(become_engines(cluster, targets, [&](const arrival& request) {
        const std::string path = request.head.header("Dandelionstep-Hop-Count");
        const std::string later = path.substr(path.find(',') + 1);
        refuse_first_sending(targets, sent, request,
                             absl::StrCat("At-Server: ", later.substr(0, later.find('=')), "\r\n"));
    }));
    for (int i = 0; i < 5; ++i) {
        const std::string id = absl::StrCat("repathed-", i);
        cluster.await([] { return false; }, refused_pause);
        const raw_answer answer = ask_stream(cluster, id);
        CAPTURE(id);
        CHECK(answer.status == 200);
        CHECK(answer.body == event);
        CHECK(targets.runs[id] == 1);
    }
}

TEST_CASE("a status below 100 is no answer to a stream")
{
    scripted_cluster cluster(engines_end);
    running_targets targets(cluster);
    std::string before;
    REQUIRE(become_engines(cluster, targets, [&](const arrival& request) {
        const std::string id = id_line(request.head.header(attempt_header));
        const std::string type = "Content-Type: text/event-stream\r\n";
        request.from->write(absl::StrCat(before, "HTTP/1.1 000 Odd\r\n", id, type, "\r\n",
                                         signed_answer(200, event, absl::StrCat(id, type))));
    }));
    for (const std::string head : {"", "HTTP/1.1 100 Continue\r\n\r\n"}) {
        CAPTURE(head);
        before = head;
        cluster.await([] { return false; }, refused_pause);
        const raw_answer answer = ask_stream(cluster, absl::StrCat("odd-", head.size()));
        CHECK(answer.whole);
        CHECK(answer.status >= 500);
        CHECK(answer.body.find("data: a") == std::string::npos);
        // The stream may have run.
        CHECK(find_header(answer.headers, "Dandelionstep-Not-Executed").empty());
    }
}

TEST_CASE("an order without an id that its target refuses is refused at once")
{
    scripted_cluster cluster(1);
    REQUIRE(cluster.become_ready());
    CHECK(cluster.ask(request_bytes("POST", "/order/x", "before", "", "x")).status == 200);
    cluster.handle = [](const arrival& request) { request.from->write(refusal("")); };
    const time_point began = event_loop::now();
    CHECK(cluster.ask(request_bytes("POST", "/order/x", "", "", "x")).status == 503);
    CHECK(event_loop::now() - began < milliseconds{500});
}

TEST_CASE("a status that promises that nothing ran is not passed on without the target's statement")
{
    constexpr std::size_t statuses = 3;
    const std::array<int, statuses> promises{408, 429, 503};
    scripted_cluster cluster(engines_end);
    running_targets targets(cluster);
    int status = 0;
    const auto answer_with_status = [&status](const arrival& request) {
        const std::string id = request.head.header(attempt_header);
        request.from->write(signed_answer(status, "ran", id_line(id)));
    };
    REQUIRE(become_engines(cluster, targets, answer_with_status));
    const auto others = cluster.handle;
    cluster.handle = [&](const arrival& request) {
        request.head.target.starts_with("/order/") ? answer_with_status(request) : others(request);
    };
    for (const int promise : promises) {
        CAPTURE(promise);
        status = promise;
        const raw_answer order =
            cluster.ask(request_bytes("POST", "/order/x", absl::StrCat("o-", promise), "", "x"));
        CHECK(order.status == 502);
        CHECK(find_header(order.headers, "Dandelionstep-Server-Signature").empty());
        const raw_answer stream = ask_stream(cluster, absl::StrCat("s-", promise));
        CHECK(stream.status == 502);
        CHECK(find_header(stream.headers, "Dandelionstep-Server-Signature").empty());
        cluster.await([] { return false; }, refused_pause);
    }
}

TEST_CASE("requests that are refused now and then go over kept connections all the same")
{
    constexpr int rounds = 200;
    entry_cluster cluster(usual_entry_plan());
    REQUIRE(cluster.become_ready());
    const std::int64_t before = cluster.gauge_of(0, "target_connections_opened");
    for (int i = 0; i < rounds; ++i) {
        if (i % 20 == 0) {
            cluster.set_faults("i-o2", {{"refuse", 1}});
        }
        CHECK(cluster.order(0, absl::StrCat("o", i), "x").status == 200);
        CHECK(cluster.look_up(0, absl::StrCat("l", i)).status == 200);
    }
    const std::int64_t opened = cluster.gauge_of(0, "target_connections_opened") - before;
    MESSAGE("connections opened: ", opened);
    CHECK(opened < rounds / 10);
}

TEST_CASE("a refusal that is cut, garbled or only an interim answer proves nothing")
{
    struct broken_case {
        std::string what;
        std::string bytes;
        bool ends_connection;
        int status;
    };
    const std::string mark = absl::StrCat(refusal_mark, id_line("judged"));
    const std::string answer = signed_answer(200, "ran", id_line("judged"));
    const std::vector<broken_case> table{
        {"its body is cut", absl::StrCat("HTTP/1.1 503 X\r\nContent-Length: 9\r\n", mark, "\r\npart"), true,
         502},
        {"its chunks are cut",
         absl::StrCat("HTTP/1.1 503 X\r\nTransfer-Encoding: chunked\r\n", mark, "\r\n4\r\npart\r\n"), true,
         502},
        {"its head is cut", absl::StrCat("HTTP/1.1 503 X\r\n", mark), true, 502},
        {"its length is none", absl::StrCat("HTTP/1.1 503 X\r\nContent-Length: x\r\n", mark, "\r\n"), false,
         502},
        {"it is interim", absl::StrCat("HTTP/1.1 103 X\r\n", mark, "\r\n", answer), false, 200},
        {"another request's refusal comes first",
         absl::StrCat(refusal(id_line("before")), refusal(id_line("earlier")), answer), false, 200},
    };
    for (const broken_case& one : table) {
        CAPTURE(one.what);
        scripted_cluster cluster(2);
        REQUIRE(cluster.become_ready());
        cluster.handle = [&one](const arrival& request) {
            request.from->write(one.bytes);
            if (one.ends_connection) {
                request.from->close();
            }
        };
        const raw_answer judged = cluster.ask(request_bytes("POST", "/order/x", "judged", "", "x"));
        CHECK(judged.status == one.status);
        CHECK(cluster.arrivals_of("judged") == 1);
    }
}
