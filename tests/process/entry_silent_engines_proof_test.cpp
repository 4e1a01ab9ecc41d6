#include "common/json.hpp"
#include "support/cluster.hpp"
#include "support/entry_cluster.hpp"
#include "support/entry_streams.hpp"

#include <chrono>
#include <doctest/doctest.h>
#include <thread>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

// More than twice the silence after which a stream is sent along another path, if it may be sent once more.
constexpr std::chrono::milliseconds silence{3'200};

constexpr std::chrono::milliseconds few_events{200};

// One copy of the model: a stream that loses an engine finds no other path.
entry_plan one_copy()
{
    entry_plan plan = usual_entry_plan();
    std::erase_if(plan.replicas, [](const replica_plan& replica) {
        return replica.id == "i-e5" || replica.id == "i-e6" || replica.id == "i-e7" || replica.id == "i-e8";
    });
    plan.event_ms = 60;
    return plan;
}

} // namespace

TEST_CASE("a stream whose engines live but are silent is not ended, and its answer comes whole")
{
    entry_cluster cluster(one_copy());
    REQUIRE(cluster.become_ready());
    const auto hold_events = [&cluster](bool held) {
        for (const char* engine : {"i-e1", "i-e2", "i-e3", "i-e4"}) {
            cluster.set_faults(engine, {{"holds_events", held}});
        }
    };
    const caller_answer answer = stream_while(cluster, "s1", "question one", [&](const std::string&) {
        std::this_thread::sleep_for(few_events);
        hold_events(true);
        std::this_thread::sleep_for(silence);
        hold_events(false);
    });
    CHECK(is_whole_stream(answer, "question one"));
}

TEST_CASE("a stream whose engine has ended goes on when another one has taken its layers over")
{
    entry_cluster cluster(one_copy());
    REQUIRE(cluster.become_ready());
    const caller_answer answer = stream_while(cluster, "s2", "question two", [&](const std::string& path) {
        const std::string engine = engine_in(cluster, path, true);
        REQUIRE_FALSE(engine.empty());
        std::this_thread::sleep_for(few_events);
        cluster.processes.at(engine).kill();
        cluster.start_replica(engine);
    });
    CHECK(is_whole_stream(answer, "question two"));
}
