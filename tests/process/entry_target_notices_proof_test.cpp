#include "common/json.hpp"
#include "support/cluster.hpp"
#include "support/entry_cluster.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <thread>
#include <vector>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr const char* first_replica = "i-o1";

void sleep_for(milliseconds span)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(span.count));
}

wall_time wall_now()
{
    return event_loop::wall_now();
}

// Requests that arrived at the replica in [from, to).
std::int64_t arrivals_in(entry_cluster& cluster, const std::string& replica, std::int64_t from,
                         std::int64_t to)
{
    const json arrivals = cluster.ledger(replica).value("arrivals", json::array());
    return std::ranges::count_if(arrivals, [&](const json& at) {
        const auto when = at.get<std::int64_t>();
        return when >= from && when < to;
    });
}

std::int64_t arrivals_since(entry_cluster& cluster, const std::string& replica, std::int64_t from)
{
    return arrivals_in(cluster, replica, from, INT64_MAX);
}

// When each request arrived at the replica, in ms after `from`.
std::string arrival_times(entry_cluster& cluster, const std::string& replica, std::int64_t from)
{
    std::string text;
    for (const json& at : cluster.ledger(replica).value("arrivals", json::array())) {
        absl::StrAppend(&text, at.get<std::int64_t>() - from, " ");
    }
    return text;
}

// When the last request arrived at the replica.
std::int64_t last_arrival(entry_cluster& cluster, const std::string& replica)
{
    const json arrivals = cluster.ledger(replica).value("arrivals", json::array());
    REQUIRE(!arrivals.empty());
    return arrivals.back().get<std::int64_t>();
}

// So that the daemons prefer the replica.
void slow_down_others(entry_cluster& cluster, const std::string& replica, int delay_ms)
{
    for (const char* other : {"i-o1", "i-o2", "i-o3"}) {
        if (other != replica) {
            cluster.set_faults(other, {{"delay_ms", delay_ms}});
        }
    }
}

// Sends lookups to the daemon until the replica has answered one; when it did.
wall_time answer_from(entry_cluster& cluster, std::size_t daemon, const std::string& replica,
                      const std::string& attempts)
{
    const std::int64_t before = arrivals_since(cluster, replica, 0);
    slow_down_others(cluster, replica, 60);
    int number = 0;
    REQUIRE(eventually([&] {
        cluster.look_up(daemon, absl::StrCat(attempts, number++));
        return arrivals_since(cluster, replica, 0) > before;
    }));
    const wall_time answered = wall_now();
    slow_down_others(cluster, replica, 0);
    return answered;
}

void look_up_for(entry_cluster& cluster, std::size_t daemon, milliseconds span, const std::string& attempts)
{
    const time_point end = event_loop::now() + span;
    for (int number = 0; event_loop::now() < end; ++number) {
        CHECK(cluster.look_up(daemon, absl::StrCat(attempts, number)).status == 200);
        CHECK(cluster.order(daemon, absl::StrCat(attempts, "o", number), "x").status == 200);
        sleep_for({10});
    }
}

double retry_after_of(const caller_answer& answer)
{
    const std::string text = find_header(answer.headers, "Retry-After");
    return text.empty() ? -1 : std::stod(text);
}

// The one of the engines that holds the first layer.
std::string first_engine(entry_cluster& cluster, const std::vector<std::string>& engines)
{
    const auto found =
        std::ranges::find_if(engines, [&](const std::string& id) { return cluster.holds_first_layer(id); });
    REQUIRE(found != engines.end());
    return *found;
}

// Streams through the first daemon until one has entered at the engine; when it did.
wall_time stream_from(entry_cluster& cluster, const std::string& engine, const std::string& attempts)
{
    const std::int64_t before = arrivals_since(cluster, engine, 0);
    wall_time entered;
    int number = 0;
    REQUIRE(eventually(
        [&] {
            entered = wall_now();
            const caller_answer answer = cluster.stream(0, absl::StrCat(attempts, number++), "question");
            CHECK(is_whole_stream(answer, "question"));
            return arrivals_since(cluster, engine, 0) > before;
        },
        {20'000}));
    return entered;
}

// So many callers stream through the first daemon at the same time, one question after the other.
void stream_together(entry_cluster& cluster, int callers, wall_time until)
{
    std::atomic<int> cut = 0;
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(callers));
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            for (int number = 0; wall_now() < until; ++number) {
                const caller_answer answer =
                    cluster.stream(0, absl::StrCat("r", caller, "-", number), "question");
                cut += is_whole_stream(answer, "question") ? 0 : 1;
            }
        });
    }
    for (std::thread& one : threads) {
        one.join();
    }
    CHECK(cut == 0);
}

} // namespace

TEST_CASE("a target that says in its answers alone that it leaves gets nothing more, from peers neither")
{
    entry_plan plan = usual_entry_plan();
    plan.daemons = {"n", "n"};
    entry_cluster cluster(plan);
    REQUIRE(cluster.become_ready());
    cluster.set_faults(first_replica, {{"says_leaving", true}});
    const wall_time passed_on = answer_from(cluster, 0, first_replica, "until");
    look_up_for(cluster, 0, {plan.drain_ms}, "drain");
    look_up_for(cluster, 0, {300}, "later");
    look_up_for(cluster, 1, {300}, "peer");
    CHECK(arrivals_since(cluster, first_replica, passed_on.count + plan.drain_ms) == 0);
    CHECK(cluster.look_up(0, "after").status == 200);
}

TEST_CASE("a target that said that it leaves is used again when a new process of it has started")
{
    entry_cluster cluster(usual_entry_plan());
    REQUIRE(cluster.become_ready());
    cluster.set_faults(first_replica, {{"says_leaving", true}});
    answer_from(cluster, 0, first_replica, "until");
    cluster.processes.at(first_replica).kill();
    cluster.start_replica(first_replica);
    answer_from(cluster, 0, first_replica, "again");
}

TEST_CASE("streams leave and avoid an engine that says in its answers alone that it leaves")
{
    entry_plan plan = usual_entry_plan();
    plan.event_ms = 80;
    entry_cluster cluster(plan);
    REQUIRE(cluster.become_ready());
    const std::string first =
        first_engine(cluster, {"i-e1", "i-e2", "i-e3", "i-e4", "i-e5", "i-e6", "i-e7", "i-e8"});
    cluster.set_faults(first, {{"says_leaving", true}});
    const wall_time passed_on = stream_from(cluster, first, "until");
    for (int i = 0; i < 6; ++i) {
        CHECK(is_whole_stream(cluster.stream(0, absl::StrCat("s", i), "question"), "question"));
    }
    CAPTURE(arrival_times(cluster, first, passed_on.count));
    CHECK(arrivals_since(cluster, first, passed_on.count + plan.drain_ms) == 0);
}

TEST_CASE("a target that asks for a rest gets it, and is used again after it")
{
    entry_cluster cluster(usual_entry_plan());
    REQUIRE(cluster.become_ready());
    cluster.set_faults(first_replica, {{"rests", 1}, {"rest_s", "2"}});
    answer_from(cluster, 0, first_replica, "until");
    // It answers at once; the caller has its answer only after another target's.
    const std::int64_t asked = last_arrival(cluster, first_replica);
    slow_down_others(cluster, first_replica, 40);
    look_up_for(cluster, 0, {2'000}, "rest");
    slow_down_others(cluster, first_replica, 0);
    // At most two may arrive between half a second after its answer and the end of the rest.
    CHECK(arrivals_in(cluster, first_replica, asked + 500, asked + 2'000) <= 2);
    answer_from(cluster, 0, first_replica, "again");
}

TEST_CASE("a rest that a target asks for without end leaves the others of its service in use")
{
    entry_cluster cluster(usual_entry_plan());
    REQUIRE(cluster.become_ready());
    cluster.set_faults(first_replica, {{"rests", 1'000}, {"rest_s", "0.2"}});
    look_up_for(cluster, 0, {2'000}, "rest");
    CHECK(arrivals_since(cluster, first_replica, 0) < 30);
}

TEST_CASE("a figure for a rest that can't be read is ignored")
{
    entry_cluster cluster(usual_entry_plan());
    REQUIRE(cluster.become_ready());
    for (const char* figure : {"soon", "-1", "1e99", "nan"}) {
        CAPTURE(figure);
        cluster.set_faults(first_replica, {{"rests", 1}, {"rest_s", figure}});
        answer_from(cluster, 0, first_replica, absl::StrCat("until", figure));
        answer_from(cluster, 0, first_replica, absl::StrCat("again", figure));
    }
    cluster.processes.at("daemon0").signal(SIGTERM);
    CHECK(cluster.output_of(0).find("event=rest_unreadable") != std::string::npos);
}

TEST_CASE("while all targets rest for long, callers are refused at once and told until when")
{
    entry_cluster cluster(usual_entry_plan());
    REQUIRE(cluster.become_ready());
    const std::vector<std::string> replicas{"i-o1", "i-o2", "i-o3"};
    for (const std::string& replica : replicas) {
        cluster.set_faults(replica, {{"rests", 1}, {"rest_s", "6"}});
    }
    const time_point began = event_loop::now();
    caller_answer last;
    REQUIRE(eventually([&] {
        last = cluster.look_up(0, absl::StrCat("l", event_loop::now().count));
        return last.status == 503 && last.body == "targets_rest\n";
    }));
    const time_point asked = event_loop::now();
    last = cluster.order(0, "refused", "x");
    CHECK(event_loop::now() - asked < milliseconds{100});
    CHECK(last.status == 503);
    const milliseconds passed = event_loop::now() - began;
    CHECK(retry_after_of(last) * 1'000 >= 6'000 - static_cast<double>(passed.count) - 100);
    CHECK(cluster.runs_of("refused") == 0);
}

TEST_CASE("while all targets rest for a moment, a request waits and is answered")
{
    entry_cluster cluster(usual_entry_plan());
    REQUIRE(cluster.become_ready());
    for (const char* replica : {"i-o1", "i-o2", "i-o3"}) {
        cluster.set_faults(replica, {{"rests", 1}, {"rest_s", "0.15"}});
    }
    for (int i = 0; i < 8; ++i) {
        const caller_answer answer = cluster.look_up(0, absl::StrCat("w", i));
        CAPTURE(answer.body);
        CHECK(answer.status == 200);
    }
}

// The resting engine is the only first one in the daemon's own data centre, where streams stay if they can.
TEST_CASE("an engine that asks for a rest takes in no streams meanwhile")
{
    entry_plan plan = usual_entry_plan();
    const std::string other_centre = "s";
    for (const char* id : {"i-e5", "i-e6", "i-e7", "i-e8"}) {
        std::ranges::find(plan.replicas, id, &replica_plan::id)->data_centre = other_centre;
    }
    entry_cluster cluster(plan);
    REQUIRE(cluster.become_ready());
    const std::string first = first_engine(cluster, {"i-e1", "i-e2", "i-e3", "i-e4"});
    cluster.set_faults(first, {{"rests", 1}, {"rest_s", "3"}});
    const wall_time asked = stream_from(cluster, first, "until");
    stream_together(cluster, 8, {asked.count + 2'800});
    CHECK(arrivals_in(cluster, first, asked.count + 500, asked.count + 3'000) <= 2);
}
