#include "adapters/http_text.hpp"
#include "common/json.hpp"

#include "support/blocking_caller.hpp"
#include "support/cluster.hpp"
#include "support/entry_cluster.hpp"

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

// More than one turn of a daemon's loop takes.
constexpr int callers = 300;
constexpr std::chrono::milliseconds lowered_idle_timeout{1'000};
constexpr std::chrono::milliseconds standstill{1'600};
constexpr milliseconds answer_limit{5'000};
constexpr std::size_t most_bytes = std::size_t{64} * 1024;

struct kept_connection {
    std::unique_ptr<blocking_caller> caller;
    std::string received;
};

std::vector<kept_connection> connect_to(const entry_cluster& cluster)
{
    std::vector<kept_connection> all;
    all.reserve(callers);
    for (int i = 0; i < callers; ++i) {
        all.push_back({std::make_unique<blocking_caller>(cluster.callers_of(0)), ""});
    }
    return all;
}

int count_without_answer(std::vector<kept_connection>& all)
{
    int missing = 0;
    for (kept_connection& one : all) {
        one.received += one.caller->read(most_bytes);
        missing += one.received.starts_with("HTTP/1.1 ") ? 0 : 1;
    }
    return missing;
}

} // namespace

TEST_CASE(
    "no whole request is left without an answer when a daemon stood still beside a lowered idle timeout")
{
    entry_cluster cluster(usual_entry_plan());
    REQUIRE(cluster.become_ready());
    const std::string new_key = "of-the-lowered-timeout";
    cluster.write_config([&](json& config) {
        config["Limits"]["IdleTimeoutMs"] = lowered_idle_timeout.count();
        config["Tenants"][0]["ApiKeys"].push_back(new_key);
    });
    REQUIRE(eventually([&] { return cluster.accepts_key(0, new_key); }));
    std::vector<kept_connection> all = connect_to(cluster);
    std::this_thread::sleep_for(lowered_idle_timeout / 2);
    REQUIRE(cluster.processes.at("daemon0").freeze());
    for (int i = 0; i < callers; ++i) {
        const http_request request = caller_request("GET", "/look/x", "standstill-" + std::to_string(i));
        all[static_cast<std::size_t>(i)].caller->write(
            request_text(request.method, request.path, request.headers, request.body));
    }
    std::this_thread::sleep_for(standstill);
    cluster.processes.at("daemon0").signal(SIGCONT);
    int missing = callers;
    eventually(
        [&] {
            missing = count_without_answer(all);
            return missing == 0;
        },
        answer_limit);
    CHECK(missing == 0);
}
