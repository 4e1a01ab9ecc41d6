#include "adapters/event_loop.hpp"
#include "common/json.hpp"
#include "support/cluster.hpp"
#include "support/entry_cluster.hpp"
#include "support/entry_streams.hpp"

#include <csignal>
#include <doctest/doctest.h>
#include <future>
#include <string>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

// Its answer has 29 events, 60 ms apart.
constexpr const char* long_question = "question 7";
constexpr milliseconds long_answer{1'740};
// Prompt and answer of a stream that leaves no room for another one of its size, and of one that takes
// little.
const http_headers large_counts{{"Dandelionstep-Token-Counts", "300,400"}};
const http_headers small_counts{{"Dandelionstep-Token-Counts", "50,40"}};

// One copy of the model on two engines, whose KV cache holds 800 tokens.
entry_plan plan_with_little_room()
{
    entry_plan plan = usual_entry_plan();
    plan.replicas = {{"i-e1", "assistant", "small"}, {"i-e2", "assistant", "small"}, {"i-o1", "orders", ""}};
    plan.event_ms = 60;
    plan.queues_streams = true;
    return plan;
}

// A patient route and an urgent one to the same engines.
void set_two_priorities(json& config)
{
    config["Services"][0]["Engine"]["CacheTokenBytes"] = 5'000'000;
    config["Routes"][0]["Priority"] = 2;
    config["Routes"][0]["TargetLatencyMs"] = 1'000;
    json urgent = config["Routes"][0];
    urgent["Name"] = "route/urgent/";
    urgent["Prefix"] = "/urgent/";
    urgent["Priority"] = 0;
    urgent["TargetLatencyMs"] = 500;
    config["Routes"].push_back(urgent);
}

class loaded_cluster {
public:
    loaded_cluster() : cluster(plan_with_little_room())
    {
        REQUIRE(this->cluster.become_ready());
        const std::int64_t before = this->cluster.gauge_of(0, "config_version");
        this->cluster.write_config(set_two_priorities);
        REQUIRE(eventually([&] { return this->cluster.gauge_of(0, "config_version") > before; }));
        this->holder = this->ask("holder", "/ask/x", large_counts);
        REQUIRE(eventually([&] { return this->cluster.runs_of("holder") == 1; }));
    }

    std::future<caller_answer> ask(const std::string& attempt, const std::string& path,
                                   const http_headers& counts)
    {
        return std::async(std::launch::async, [this, attempt, path, counts] {
            return this->cluster.ask(0, "POST", path, attempt, long_question, counts);
        });
    }

    bool await_waiting(std::int64_t count)
    {
        return eventually([&] { return this->cluster.gauge_of(0, "admission_waiting") == count; });
    }

    entry_cluster cluster;
    //! Takes nearly all of the engines' room.
    std::future<caller_answer> holder;
};

} // namespace

// Guards against sending in order of arrival, and against sending for callers that have left.
TEST_CASE("an urgent stream is sent before patient ones that wait, and one whose caller left is not sent")
{
    loaded_cluster loaded;
    std::future<caller_answer> patient = loaded.ask("patient", "/ask/x", large_counts);
    REQUIRE(loaded.await_waiting(1));
    http_request leaving = caller_request("POST", "/ask/x", "leaving", long_question, large_counts);
    leaving.timeout = {200};
    call(loaded.cluster.callers_of(0), std::move(leaving));
    REQUIRE(loaded.await_waiting(1));
    std::future<caller_answer> urgent = loaded.ask("urgent", "/urgent/x", small_counts);
    CHECK(is_whole_stream(urgent.get(), long_question));
    CHECK(is_whole_stream(loaded.holder.get(), long_question));
    CHECK(is_whole_stream(patient.get(), long_question));
    CHECK(loaded.cluster.runs_of("leaving") == 0);
    CHECK(loaded.cluster.runs_of("patient") == 1);
    loaded.cluster.processes.at("daemon0").signal(SIGTERM);
    const std::string log = loaded.cluster.output_of(0);
    const std::int64_t waited = number_in(line_with(log, "event=admission_sent id=patient"), "waited_ms");
    CHECK(waited > 500);
    CHECK(line_with(log, "event=admission_sent id=leaving").empty());
}

// A wait must not outlast the daemon, and what has not run is said not to have run.
TEST_CASE("a daemon that stops ends the waits at once and truthfully")
{
    loaded_cluster loaded;
    std::future<caller_answer> patient = loaded.ask("patient", "/ask/x", large_counts);
    REQUIRE(loaded.await_waiting(1));
    const time_point stopped = event_loop::now();
    loaded.cluster.processes.at("daemon0").signal(SIGTERM);
    const caller_answer answer = patient.get();
    CHECK(event_loop::now() - stopped < milliseconds{500});
    CHECK(answer.status == 503);
    CHECK_FALSE(find_header(answer.headers, "Retry-After").empty());
    CHECK(loaded.cluster.runs_of("patient") == 0);
    loaded.holder.get();
}

// Waits must not go on under a configuration that calls for none.
TEST_CASE("streams that wait are sent when a new configuration switches load control off")
{
    loaded_cluster loaded;
    const time_point began = event_loop::now();
    std::future<caller_answer> patient = loaded.ask("patient", "/ask/x", large_counts);
    REQUIRE(loaded.await_waiting(1));
    loaded.cluster.write_config([](json& config) {
        set_two_priorities(config);
        config["Routes"][3]["Priority"] = 2;
    });
    REQUIRE(eventually([&] { return loaded.cluster.runs_of("patient") == 1; }));
    CHECK(event_loop::now() - began < long_answer);
    CHECK(is_whole_stream(patient.get(), long_question));
    loaded.holder.get();
}
