#include "absl/strings/str_cat.h"
#include "common/json.hpp"
#include "support/cluster.hpp"
#include "support/entry_streams.hpp"

#include <csignal>
#include <doctest/doctest.h>
#include <string>
#include <thread>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

// Its answer has 29 events, so that it does not end by itself while the test strikes.
constexpr const char* long_question = "question 7";

entry_plan plan_of_slow_streams()
{
    entry_plan plan = usual_entry_plan();
    plan.event_ms = 60;
    return plan;
}

void set_everywhere(entry_cluster& cluster, const json& faults)
{
    for (const std::string& id : cluster.replica_ids()) {
        cluster.set_faults(id, faults);
    }
}

// How many of the stream's events the body holds.
std::size_t events_in(const std::string& body)
{
    std::size_t count = 0;
    for (std::size_t at = body.find("id: "); at != std::string::npos; at = body.find("id: ", at + 1)) {
        ++count;
    }
    return count;
}

} // namespace

TEST_CASE("a stream without its engine's signature is not passed on, and another engine is asked")
{
    entry_cluster cluster(usual_entry_plan());
    REQUIRE(cluster.become_ready());
    set_everywhere(cluster, {{"unsigned", 1}});
    const caller_answer answer = cluster.stream(0, "unsigned", "question");
    const bool is_signed = !find_header(answer.headers, "Dandelionstep-Server-Signature").empty();
    CHECK((answer.status != 200 || is_signed));
    set_everywhere(cluster, {{"unsigned", 0}});
    CHECK(is_whole_stream(cluster.stream(0, "signed", "question"), "question"));
}

TEST_CASE("a stream that may not be resumed runs once, and its loss does not look like an end")
{
    entry_cluster cluster(plan_of_slow_streams());
    REQUIRE(cluster.become_ready());
    cluster.write_config([](json& config) { config["Routes"][0]["Resumable"] = false; });
    std::this_thread::sleep_for(std::chrono::milliseconds(1'000));
    const caller_answer answer = stream_while(cluster, "once", long_question, [&](const std::string& path) {
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        cluster.processes.at(engine_in(cluster, path, true)).kill();
    });
    CHECK_FALSE(answer.whole);
    CHECK(events_in(answer.body) > 0);
    CHECK(is_stream_prefix(answer.body, long_question));
    // Of the engines that are left, none has run it.
    CHECK(cluster.runs_of("once") == 0);
}

TEST_CASE("a stream that ran is never said not to have run")
{
    entry_cluster cluster(plan_of_slow_streams());
    REQUIRE(cluster.become_ready());
    cluster.write_config([](json& config) { config["Routes"][0]["Resumable"] = false; });
    std::this_thread::sleep_for(std::chrono::milliseconds(1'000));
    // The engines take it in and break off before their answer begins.
    set_everywhere(cluster, {{"hang", 1'000}});
    caller_answer answer;
    std::thread asking([&] { answer = cluster.stream(0, "taken", long_question); });
    std::string first;
    REQUIRE(eventually([&] {
        first = engine_in(cluster, path_of(cluster, "taken"), true);
        return !first.empty();
    }));
    cluster.processes.at(first).kill();
    asking.join();
    CHECK(answer.status == 502);
}

TEST_CASE("a caller that resumes its stream gets what follows the last event that it has")
{
    entry_cluster cluster(usual_entry_plan());
    REQUIRE(cluster.become_ready());
    const caller_answer whole = cluster.stream(0, "first", long_question);
    REQUIRE(is_whole_stream(whole, long_question));
    const caller_answer rest =
        cluster.ask(0, "POST", "/ask/x", "second", long_question, {{"Last-Event-Id", "20"}});
    CHECK(rest.whole);
    CHECK(rest.body == whole.body.substr(whole.body.find("id: 21\n")));
}

// Every daemon and its memory are lost in one moment, while the store and the targets go on.
TEST_CASE("daemons that were all killed serve again within two seconds of their start")
{
    constexpr milliseconds serve_again{2'000};
    entry_plan plan = usual_entry_plan();
    plan.daemons = {"n", "n", "m"};
    entry_cluster cluster(plan);
    REQUIRE(cluster.become_ready());
    for (std::size_t i = 0; i < plan.daemons.size(); ++i) {
        cluster.processes.at(absl::StrCat("daemon", i)).kill();
    }
    for (std::size_t i = 0; i < plan.daemons.size(); ++i) {
        cluster.start_daemon(i);
    }
    for (std::size_t i = 0; i < plan.daemons.size(); ++i) {
        CHECK(eventually([&] { return is_whole_stream(cluster.stream(i, "back", "q"), "q"); }, serve_again));
        CHECK(cluster.is_ready(i));
    }
}
