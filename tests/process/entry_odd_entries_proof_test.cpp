#include "absl/strings/str_cat.h"
#include "common/json.hpp"
#include "support/cluster.hpp"
#include "support/entry_cluster.hpp"
#include "support/entry_streams.hpp"
#include "support/kept_caller.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <doctest/doctest.h>
#include <string>
#include <thread>
#include <vector>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr std::size_t daemons = 3;

struct odd_entry {
    std::string key;
    std::string value;
};

// An entry like those of the engines, with `changed` members in place of its own.
std::string entry_with(const std::string& changed)
{
    return absl::StrCat(R"({"Service":"assistant","Address":"127.0.0.1:9","Zone":"n","State":"ready",)",
                        R"("Kind":"small","Slots":4,)", changed, "}");
}

std::string order_entry_at(const std::string& address)
{
    return absl::StrCat(R"({"Service":"orders","Zone":"n","State":"ready","Address":")", address, R"("})");
}

std::vector<odd_entry> odd_entries()
{
    constexpr std::size_t depth = 30'000;
    constexpr std::size_t row_bytes = 60'000;
    return {
        {"deep", absl::StrCat(R"({"Service":)", std::string(depth, '['), std::string(depth, ']'), "}")},
        {"deep-open", std::string(depth, '{')},
        {"layers-huge", entry_with(R"("Layers":{"From":0,"To":9223372036854775807})")},
        {"layers-past-model", entry_with(R"("Layers":{"From":4,"To":4096})")},
        {"layers-negative", entry_with(R"("Layers":{"From":-9223372036854775808,"To":2})")},
        {"layers-reversed", entry_with(R"("Layers":{"From":7,"To":-7})")},
        {"layers-unsigned", entry_with(R"("Layers":{"From":18446744073709551615,"To":2})")},
        {"layers-far", entry_with(R"("Layers":{"From":1000000000000,"To":1000000000001})")},
        {"number-infinite", entry_with(R"("Slots":1e400)")},
        {"number-large", entry_with(R"("ColdRemainingMs":1e300,"born":9223372036854775807)")},
        {"times-negative", entry_with(R"("ColdRemainingMs":-9223372036854775808,"born":-1)")},
        {"slots-huge", entry_with(R"("Slots":9223372036854775807,"Sequence":18446744073709551615)")},
        {"port-0", order_entry_at("127.0.0.1:0")},
        {"port-65536", order_entry_at("127.0.0.1:65536")},
        {"port-negative", order_entry_at("127.0.0.1:-1")},
        {"address-empty", order_entry_at("")},
        {"address-dots", order_entry_at("...:80")},
        {"address-octets", order_entry_at("999.999.999.999:80")},
        {"not-utf8", "\xff\xfe\xfd"},
        {std::string(200, 'k'), order_entry_at("host:80")},
        {"zero", std::string(3, '\0')},
        {"kind-odd", entry_with(R"("Kind":"sm\u0000all\r\nx: y")")},
        {"long", entry_with(absl::StrCat(R"("Zone":")", std::string(row_bytes, 'z'), "\""))},
    };
}

entry_plan three_daemons()
{
    entry_plan plan = usual_entry_plan();
    plan.daemons.assign(daemons, "n");
    return plan;
}

// Callers that keep their connections from one request to the next, one at each daemon.
class kept_callers {
public:
    explicit kept_callers(entry_cluster& cluster_in) : cluster(cluster_in) {}

    void check_served(const std::string& attempt)
    {
        for (std::size_t i = 0; i < daemons; ++i) {
            CAPTURE(i);
            const endpoint at = this->cluster.callers_of(i);
            const std::string id = absl::StrCat(attempt, "-", i);
            CHECK(this->callers.at(i).ask(at, caller_request("POST", "/order/x", id, "x")).status == 200);
            CHECK(this->callers.at(i).ask(at, caller_request("GET", "/look/x", id + "l")).status == 200);
            const caller_answer stream =
                this->callers.at(i).ask(at, caller_request("POST", "/ask/x", id + "s", "q"));
            CHECK(is_whole_stream(stream, "q"));
        }
    }

private:
    entry_cluster& cluster;
    std::array<kept_caller, daemons> callers;
};

void check_alive(entry_cluster& cluster)
{
    for (std::size_t i = 0; i < daemons; ++i) {
        CAPTURE(i);
        CHECK(cluster.processes.at(absl::StrCat("daemon", i)).running());
    }
}

void check_follow(entry_cluster& cluster, const std::string& key)
{
    cluster.write_key(key);
    for (std::size_t i = 0; i < daemons; ++i) {
        CAPTURE(i);
        CHECK(eventually([&] { return cluster.accepts_key(i, key); }, {1'000}));
    }
}

// Engines are planned for once their arrivals have settled, and by the next daemon when one is lost.
constexpr std::chrono::seconds plan_time{5};

} // namespace

TEST_CASE("odd entries of another writer neither end daemons, nor keep them from serving and following")
{
    entry_cluster cluster(three_daemons());
    REQUIRE(cluster.become_ready());
    kept_callers callers(cluster);
    for (const odd_entry& odd : odd_entries()) {
        CAPTURE(odd.key);
        cluster.write_row("another", "servers", odd.key, odd.value);
        const std::string key = absl::StrCat("key-", odd.key.substr(0, 20));
        check_follow(cluster, key);
        callers.check_served(key);
    }
    std::this_thread::sleep_for(plan_time);
    check_alive(cluster);
    cluster.processes.at("daemon1").kill();
    cluster.start_daemon(1);
    CHECK(eventually([&] { return cluster.is_ready(1); }, {5'000}));
    std::this_thread::sleep_for(plan_time);
    check_alive(cluster);
    check_follow(cluster, "key-last");
    kept_callers(cluster).check_served("last");
}

TEST_CASE("a row that can't be decoded keeps no daemon from following the targets beside it")
{
    const entry_plan plan = three_daemons();
    entry_cluster cluster(plan);
    REQUIRE(cluster.become_ready());
    for (int i = 0; i < 5; ++i) {
        cluster.write_encoded_row("another", "servers", "odd", "%%%");
        std::this_thread::sleep_for(std::chrono::milliseconds(250));
    }
    cluster.processes.at("daemon1").signal(SIGKILL);
    std::vector<std::string> outputs{cluster.output_of(1)};
    CHECK_FALSE(outputs.front().empty());
    cluster.start_daemon(1);
    CHECK(eventually([&] { return cluster.is_ready(1); }, {5'000}));
    cluster.set_faults("i-o1", {{"draining", true}});
    std::this_thread::sleep_for(std::chrono::milliseconds(plan.drain_ms));
    const std::size_t before = cluster.ledger("i-o1")["runs"].size();
    kept_callers callers(cluster);
    for (int i = 0; i < 10; ++i) {
        callers.check_served(absl::StrCat("after", i));
    }
    CHECK(cluster.ledger("i-o1")["runs"].size() == before);
    for (std::size_t i = 0; i < daemons; ++i) {
        cluster.processes.at(absl::StrCat("daemon", i)).signal(SIGTERM);
        outputs.push_back(cluster.output_of(i));
    }
    // Each process that read the store has logged it once, however often it was written.
    std::size_t all_lines = 0;
    for (const std::string& output : outputs) {
        const std::string lines = lines_with(output, "event=target_unreadable target=odd ");
        const auto count = static_cast<std::size_t>(std::ranges::count(lines, '\n'));
        CHECK(count <= 1);
        all_lines += count;
    }
    CHECK(all_lines >= 1);
}
