#include "absl/strings/str_cat.h"
#include "adapters/http_text.hpp"
#include "common/json.hpp"
#include "support/blocking_caller.hpp"
#include "support/cluster.hpp"
#include "support/entry_cluster.hpp"
#include "support/waiting_target.hpp"

#include <chrono>
#include <csignal>
#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr std::size_t callers = 6;
constexpr std::chrono::milliseconds settle_time{700};

std::string text_of(const endpoint& to, const http_request& request)
{
    http_headers headers = request.headers;
    headers.insert(headers.begin(), {"Host", to.address});
    return request_text(request.method, request.path, headers, request.body);
}

struct request_form {
    std::string method;
    std::string path;
    std::string body;
};

http_request request_with(const request_form& form, const std::string& attempt, int patience_ms)
{
    return caller_request(form.method, form.path, attempt, form.body,
                          {{"Dandelionstep-Deadline-Remaining", std::to_string(patience_ms)}});
}

using caller_list = std::vector<std::unique_ptr<blocking_caller>>;

caller_list send_requests(const endpoint& to, const request_form& form, const std::string& attempt,
                          int patience_ms)
{
    caller_list all;
    for (std::size_t i = 0; i < callers; ++i) {
        all.push_back(std::make_unique<blocking_caller>(to));
        all.back()->write(text_of(to, request_with(form, absl::StrCat(attempt, i, form.path), patience_ms)));
    }
    return all;
}

// The plain service has one replica, which is reached at this address alone.
entry_plan plan_with_orders_at(const endpoint& at)
{
    entry_plan plan = usual_entry_plan();
    std::erase_if(plan.replicas,
                  [](const replica_plan& one) { return one.id == "i-o2" || one.id == "i-o3"; });
    plan.replica_seen_at["i-o1"] = at;
    return plan;
}

} // namespace

TEST_CASE("requests whose callers left during the daemon's standstill reach no replica after it")
{
    entry_cluster cluster(usual_entry_plan());
    REQUIRE(cluster.become_ready());
    constexpr int patience_ms = 10'000;
    for (const request_form& form :
         {request_form{"GET", "/look/x", ""}, request_form{"POST", "/order/x", "q"},
          request_form{"POST", "/ask/x", "q"}}) {
        CAPTURE(form.path);
        for (const auto& caller : send_requests(cluster.callers_of(0), form, "before", patience_ms)) {
            CHECK(eventually([&] { return caller->read(100'000).starts_with("HTTP/1.1 200 "); }));
        }
        REQUIRE(cluster.processes.at("daemon0").freeze());
        for (const auto& caller : send_requests(cluster.callers_of(0), form, "late", patience_ms)) {
            caller->close();
        }
        std::this_thread::sleep_for(settle_time);
        cluster.processes.at("daemon0").signal(SIGCONT);
        std::this_thread::sleep_for(settle_time);
        for (std::size_t i = 0; i < callers; ++i) {
            CAPTURE(i);
            CHECK(cluster.runs_of(absl::StrCat("late", i, form.path)) == 0);
        }
    }
    CHECK(cluster.look_up(0, "afterwards").status == 200);
}

namespace {

// A connection is given up after 250 ms.
constexpr std::chrono::milliseconds freeze_step{25};

struct given_up_case {
    std::string what;
    request_form form;
    bool leaves = false;
    int patience_ms = 0;
};

// False when the daemon had not begun all connections, or gave one up, before it stood still.
bool freeze_while_connecting(entry_cluster& cluster, const waiting_target& target,
                             std::chrono::milliseconds after)
{
    std::this_thread::sleep_for(after);
    return cluster.processes.at("daemon0").freeze() && target.opening() == callers;
}

// False when it could not be tried.
bool try_given_up(const given_up_case& one, std::chrono::milliseconds freeze_after)
{
    waiting_target target(0);
    entry_cluster cluster(plan_with_orders_at(target.address()));
    REQUIRE(cluster.become_ready());
    // Takes the only place, so that no other connection is made until the backlog is longer.
    const blocking_caller first(target.address());
    const caller_list all = send_requests(cluster.callers_of(0), one.form, "late", one.patience_ms);
    if (!freeze_while_connecting(cluster, target, freeze_after)) {
        return false;
    }
    target.set_backlog(64);
    REQUIRE(eventually([&] { return target.take_connections() == callers + 1; }));
    for (const auto& caller : all) {
        if (one.leaves) {
            caller->close();
        }
    }
    std::this_thread::sleep_for(settle_time);
    cluster.processes.at("daemon0").signal(SIGCONT);
    std::this_thread::sleep_for(settle_time);
    target.take_connections();
    CHECK(target.take_bytes() == "");
    for (const auto& caller : all) {
        if (!one.leaves) {
            CHECK(caller->read(100'000).substr(0, 12) == "HTTP/1.1 503");
        }
    }
    return true;
}

} // namespace

TEST_CASE("requests that were given up while their connections were made do not reach the replica")
{
    for (const given_up_case& one : {given_up_case{"left", {"GET", "/look/x", ""}, true, 10'000},
                                     given_up_case{"left", {"POST", "/order/x", "q"}, true, 10'000},
                                     given_up_case{"out of time", {"GET", "/look/x", ""}, false, 900},
                                     given_up_case{"out of time", {"POST", "/order/x", "q"}, false, 900}}) {
        CAPTURE(one.what);
        CAPTURE(one.form.path);
        bool was_tried = false;
        for (int i = 1; i <= 8 && !was_tried; ++i) {
            was_tried = try_given_up(one, freeze_step * i);
        }
        CHECK(was_tried);
    }
}

TEST_CASE("a request that was given up does not reach the replica from the buffers of the daemon's machine")
{
    constexpr int buffer_bytes = 4'096;
    const std::string body(90'000, 'y');
    for (const bool leaves : {true, false}) {
        CAPTURE(leaves);
        waiting_target target(8, buffer_bytes);
        entry_cluster cluster(plan_with_orders_at(target.address()));
        REQUIRE(cluster.become_ready());
        const endpoint to = cluster.callers_of(0);
        blocking_caller caller(to);
        caller.write(text_of(to, request_with({"POST", "/order/x", body}, "late", leaves ? 10'000 : 500)));
        REQUIRE(eventually([&] { return target.take_connections() > 0; }));
        std::this_thread::sleep_for(settle_time);
        if (leaves) {
            caller.close();
            std::this_thread::sleep_for(settle_time);
        }
        std::string received;
        CHECK(eventually(
            [&] {
                received += target.take_bytes();
                return target.was_reset();
            },
            {1'000}));
        CHECK(received.size() < body.size());
    }
}
