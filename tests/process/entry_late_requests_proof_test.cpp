#include "absl/strings/str_cat.h"
#include "adapters/http_reader.hpp"
#include "adapters/http_text.hpp"
#include "common/json.hpp"
#include "support/cluster.hpp"
#include "support/entry_cluster.hpp"
#include "support/kept_caller.hpp"
#include "support/scripted_peer.hpp"

#include <algorithm>
#include <csignal>
#include <doctest/doctest.h>
#include <thread>
#include <vector>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

using steady = std::chrono::steady_clock;

std::string wire_text(http_request request)
{
    request.headers.emplace_back("Host", "127.0.0.1");
    return request_text(request.method, request.path, request.headers, request.body);
}

struct wire_answer {
    int status = 0;
    http_head head;
    std::string body;
    bool whole = false;
};

wire_answer parse_answer(const std::string& bytes)
{
    wire_answer answer;
    http_reader reader(http_reader::kind::responses, {[&](http_head& head) { answer.head = head; },
                                                      [&](std::string_view part) { answer.body += part; }});
    answer.whole = reader.feed(bytes).state == http_reader::progress::complete;
    answer.status = answer.head.status;
    return answer;
}

// A request that is sent at a time after the stop over a connection that was open before it.
struct late_request {
    std::string attempt;
    http_request request;
    milliseconds at;
    std::shared_ptr<raw_connection> connection;
    bool sent = false;
};

http_request late_http_request(int number, const std::string& attempt)
{
    const http_headers patient{{"Dandelionstep-Deadline-Remaining", "20000"}};
    if (number % 3 == 0) {
        return caller_request("GET", "/look/x", attempt, "", patient);
    }
    return number % 3 == 1 ? caller_request("POST", "/order/x", attempt, "q" + attempt, patient)
                           : caller_request("POST", "/ask/x", attempt, "q" + attempt, patient);
}

std::vector<late_request> late_requests(event_loop& loop, entry_cluster& cluster, milliseconds end)
{
    constexpr milliseconds step{50};
    std::vector<late_request> made;
    for (milliseconds at{0}; at < end; at = at + step) {
        const int number = static_cast<int>(made.size());
        const std::string attempt = absl::StrCat("late", number);
        late_request one{attempt, late_http_request(number, attempt), at, {}, false};
        one.connection = connect_raw(loop, cluster.callers_of(0));
        one.connection->write(wire_text(caller_request("GET", "/look/x", absl::StrCat("before", number))));
        made.push_back(std::move(one));
    }
    CHECK(run_until(loop, [&] {
        return std::ranges::all_of(
            made, [](const late_request& one) { return parse_answer(one.connection->received).whole; });
    }));
    for (late_request& one : made) {
        one.connection->received.clear();
    }
    return made;
}

void send_due(std::vector<late_request>& requests, milliseconds passed)
{
    for (late_request& one : requests) {
        if (!one.sent && !one.connection->closed && one.at <= passed) {
            one.connection->write(wire_text(one.request));
            one.sent = true;
        }
    }
}

void set_route_timeouts(entry_cluster& cluster, std::int64_t timeout_ms)
{
    const std::int64_t version = cluster.gauge_of(0, "config_version");
    cluster.write_config([&](json& config) {
        for (json& route : config["Routes"]) {
            route["TimeoutMs"] = timeout_ms;
        }
    });
    REQUIRE(eventually([&] { return cluster.gauge_of(0, "config_version") > version; }));
}

void check_answered(entry_cluster& cluster, const late_request& one)
{
    CAPTURE(one.attempt);
    CAPTURE(one.at.count);
    CAPTURE(one.connection->received);
    const std::int64_t runs = cluster.runs_of(one.attempt);
    CHECK((runs <= 1 || one.request.path != "/order/x"));
    if (one.connection->received.empty()) {
        // Its connection ended as idle while it was on its way.
        CHECK(runs == 0);
        return;
    }
    const wire_answer answer = parse_answer(one.connection->received);
    CHECK(answer.whole);
    CHECK(answer.status == (runs > 0 ? 502 : 503));
    CHECK(answer.head.header("Retry-After").empty() == (runs > 0));
    CHECK(answer.head.header("Connection") == "close");
}

} // namespace

TEST_CASE("requests that come late in a stop and can't end in time are answered or refused")
{
    entry_plan plan = usual_entry_plan();
    plan.grace_s = 4;
    entry_cluster cluster(plan);
    REQUIRE(cluster.become_ready());
    set_route_timeouts(cluster, 20'000);
    event_loop loop;
    std::vector<late_request> requests = late_requests(loop, cluster, milliseconds{plan.grace_s * 1'000});
    for (const std::string& id : cluster.replica_ids()) {
        cluster.set_faults(id, {{"hang", 1'000}});
    }
    cluster.processes.at("daemon0").signal(SIGTERM);
    const time_point began = event_loop::now();
    CHECK(run_until(loop,
                    [&] {
                        send_due(requests, event_loop::now() - began);
                        return !cluster.processes.at("daemon0").running();
                    },
                    {6'000}));
    CHECK(event_loop::now() - began < milliseconds{plan.grace_s * 1'000});
    CHECK(cluster.processes.at("daemon0").wait() == 0);
    run_until(loop, [&] {
        return std::ranges::all_of(requests, [](const late_request& one) { return one.connection->closed; });
    });
    std::int64_t sent = 0;
    for (const late_request& one : requests) {
        sent += one.sent ? 1 : 0;
        if (one.sent) {
            check_answered(cluster, one);
        }
    }
    MESSAGE(sent, " of ", requests.size(), " were sent");
    CHECK(sent > 40);
}

TEST_CASE("every caller that waits at the limit of a stop gets a whole answer, however many there are")
{
    constexpr std::size_t callers = 400;
    entry_plan plan = usual_entry_plan();
    plan.grace_s = 3;
    entry_cluster cluster(plan);
    REQUIRE(cluster.become_ready());
    set_route_timeouts(cluster, 20'000);
    for (const std::string id : {"i-o1", "i-o2", "i-o3"}) {
        cluster.set_faults(id, {{"hang", 10'000}});
    }
    event_loop loop;
    std::vector<std::shared_ptr<raw_connection>> open;
    for (std::size_t i = 0; i < callers; ++i) {
        open.push_back(connect_raw(loop, cluster.callers_of(0)));
        open.back()->write(wire_text(late_http_request(1, absl::StrCat("held", i))));
    }
    run_until(loop, [] { return false; }, {600});
    cluster.processes.at("daemon0").signal(SIGTERM);
    CHECK(run_until(loop,
                    [&] { return std::ranges::all_of(open, [](const auto& one) { return one->closed; }); },
                    {4'000}));
    CHECK(cluster.processes.at("daemon0").wait() == 0);
    for (const auto& one : open) {
        CHECK(parse_answer(one->received).whole);
    }
}

TEST_CASE("a request that waits for the first configuration is refused before a stopping daemon ends")
{
    entry_plan plan = usual_entry_plan();
    plan.grace_s = 1;
    plan.replicas.clear();
    entry_cluster cluster(plan);
    child_process& daemon = cluster.processes.at("daemon0");
    while (!accepts_connections(cluster.callers_of(0)) && daemon.running()) {
    }
    event_loop loop;
    const auto first = connect_raw(loop, cluster.callers_of(0));
    first->write(wire_text(caller_request("POST", "/order/x", "early", "a")));
    run_until(loop, [] { return false; }, {20});
    daemon.signal(SIGTERM);
    run_until(loop, [] { return false; }, {500});
    const auto second = connect_raw(loop, cluster.callers_of(0));
    second->write(wire_text(caller_request("GET", "/look/x", "early-too")));
    CHECK(run_until(loop, [&] { return first->closed && second->closed; }));
    CHECK(daemon.wait() == 0);
    for (const auto& one : {first, second}) {
        CAPTURE(one->received);
        const wire_answer answer = parse_answer(one->received);
        CHECK(answer.whole);
        CHECK(answer.status == 503);
        CHECK(!answer.head.header("Retry-After").empty());
    }
}

TEST_CASE("a request that is still being read at the limit of a stop is refused")
{
    entry_plan plan = usual_entry_plan();
    plan.grace_s = 3;
    entry_cluster cluster(plan);
    REQUIRE(cluster.become_ready());
    event_loop loop;
    const std::string bytes = wire_text(caller_request("POST", "/order/x", "half", "a body"));
    std::vector<std::shared_ptr<raw_connection>> open;
    for (const std::size_t read : {bytes.size() - 3, bytes.find("Host:")}) {
        open.push_back(connect_raw(loop, cluster.callers_of(0)));
        open.back()->write(bytes.substr(0, read));
    }
    run_until(loop, [] { return false; }, {100});
    cluster.processes.at("daemon0").signal(SIGTERM);
    CHECK(run_until(loop, [&] { return open[0]->closed && open[1]->closed; }));
    CHECK(cluster.processes.at("daemon0").wait() == 0);
    CHECK(cluster.runs_of("half") == 0);
    for (const auto& one : open) {
        CAPTURE(one->received);
        const wire_answer answer = parse_answer(one->received);
        CHECK(answer.whole);
        CHECK(answer.status == 503);
        CHECK(answer.head.header("Connection") == "close");
        CHECK(!answer.head.header("Retry-After").empty());
    }
}

TEST_CASE("a stream that has begun is not ended as whole at the limit of a stop")
{
    entry_plan plan = usual_entry_plan();
    plan.grace_s = 3;
    plan.event_ms = 900;
    entry_cluster cluster(plan);
    cluster.write_config();
    REQUIRE(eventually([&] { return cluster.is_ready(0); }));
    REQUIRE(cluster.await_layers());
    event_loop loop;
    std::shared_ptr<raw_connection> caller;
    REQUIRE(eventually([&] {
        caller = connect_raw(loop, cluster.callers_of(0));
        caller->write(wire_text(late_http_request(2, "begun")));
        run_until(loop,
                  [&] { return caller->received.find("id: 1\n") != std::string::npos || caller->closed; },
                  {2'000});
        return caller->received.find("id: 1\n") != std::string::npos;
    }));
    cluster.processes.at("daemon0").signal(SIGTERM);
    CHECK(run_until(loop, [&] { return caller->closed; }));
    CHECK(cluster.processes.at("daemon0").wait() == 0);
    CHECK_FALSE(parse_answer(caller->received).whole);
    CHECK(caller->received.starts_with("HTTP/1.1 200"));
    CHECK(caller->received.find("HTTP/1.1 5") == std::string::npos);
}
