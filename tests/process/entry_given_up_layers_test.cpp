#include "common/json.hpp"
#include "replica_standin.hpp"
#include "support/cluster.hpp"
#include "support/entry_cluster.hpp"

#include <algorithm>
#include <chrono>
#include <doctest/doctest.h>
#include <string>
#include <thread>
#include <vector>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr std::size_t streams = 8;
constexpr std::int64_t event_ms = 250;
// Streams of so many events still run for some seconds after an engine began to leave.
constexpr std::int64_t least_events = 24;

// Two data centres that hold the whole model, the second with one engine to spare.
entry_plan two_centres()
{
    entry_plan plan = usual_entry_plan();
    plan.daemons = {"n", "s"};
    plan.event_ms = event_ms;
    plan.gap_objective_ms = 1'000;
    plan.replicas.clear();
    for (const char* id : {"i-n1", "i-n2", "i-n3", "i-n4"}) {
        plan.replicas.push_back({id, "assistant", "small", "n"});
    }
    for (const char* id : {"i-s1", "i-s2", "i-s3", "i-s4", "i-s5"}) {
        plan.replicas.push_back({id, "assistant", "small", "s"});
    }
    plan.replicas.push_back({"i-o1", "orders", "", "n"});
    return plan;
}

struct engine_layers {
    std::string id;
    std::int64_t begin = 0;
    std::int64_t end = 0;
};

std::vector<engine_layers> layers_of_second_centre(entry_cluster& cluster)
{
    std::vector<engine_layers> held;
    for (const std::string& id : cluster.replica_ids()) {
        if (!id.starts_with("i-s") || !cluster.processes.at(id).running()) {
            continue;
        }
        const json layers = cluster.report(id).value("Layers", json::object());
        held.push_back({id, integer_or(layers, "From", 0), integer_or(layers, "To", 0)});
    }
    return held;
}

bool holds_whole_model(const std::vector<engine_layers>& engines)
{
    for (std::int64_t layer = 0; layer < entry_layers; ++layer) {
        if (std::ranges::none_of(engines, [layer](const engine_layers& one) {
                return one.begin <= layer && layer < one.end;
            })) {
            return false;
        }
    }
    return true;
}

// An engine without which the others don't hold the whole model.
std::string find_needed(const std::vector<engine_layers>& engines)
{
    for (const engine_layers& one : engines) {
        std::vector<engine_layers> others = engines;
        std::erase_if(others, [&one](const engine_layers& other) { return other.id == one.id; });
        if (!holds_whole_model(others)) {
            return one.id;
        }
    }
    return "";
}

std::string long_question(std::size_t index)
{
    std::string question = "question-" + std::to_string(index);
    while (standins::event_count(question) < least_events) {
        question += "?";
    }
    return question;
}

} // namespace

// The load that it answers: an engine leaves while the one that is to take its layers carries long streams.
TEST_CASE("streams move off an engine that is to take other layers, and it has them long before they end")
{
    entry_cluster cluster(two_centres());
    REQUIRE(cluster.become_ready());
    REQUIRE(eventually([&] { return holds_whole_model(layers_of_second_centre(cluster)); }));
    const std::string leaving = find_needed(layers_of_second_centre(cluster));
    REQUIRE_FALSE(leaving.empty());

    std::vector<caller_answer> answers(streams);
    std::vector<std::thread> asking;
    for (std::size_t i = 0; i < streams; ++i) {
        asking.emplace_back([&cluster, &answers, i] {
            answers[i] = cluster.stream(1, "stream-" + std::to_string(i), long_question(i));
        });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(4 * event_ms));
    const auto left_at = std::chrono::steady_clock::now();
    cluster.set_faults(leaving, {{"draining", true}});
    CHECK(eventually([&] {
        std::vector<engine_layers> staying = layers_of_second_centre(cluster);
        std::erase_if(staying, [&](const engine_layers& one) { return one.id == leaving; });
        return holds_whole_model(staying);
    }));
    const auto took = std::chrono::steady_clock::now() - left_at;
    for (std::thread& one : asking) {
        one.join();
    }
    MESSAGE("whole again after ms: ", std::chrono::duration_cast<std::chrono::milliseconds>(took).count());
    // A drain time for it to be known, one in which streams move, the loading, and three events of the
    // stand-in without a stream.
    CHECK(took < std::chrono::milliseconds(3'000));
    for (std::size_t i = 0; i < streams; ++i) {
        CAPTURE(i);
        CHECK(is_whole_stream(answers[i], long_question(i)));
    }
}
