#include "common/json.hpp"
#include "support/cluster.hpp"
#include "support/entry_cluster.hpp"

#include <csignal>
#include <doctest/doctest.h>
#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <thread>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

// The event of a log line and the names of its fields.
struct line_shape {
    std::string event;
    std::set<std::string> fields;
};

line_shape shape_of(const std::string& line)
{
    line_shape shape;
    std::istringstream words(line);
    std::string word;
    while (words >> word) {
        const std::size_t equals = word.find('=');
        if (equals == std::string::npos) {
            continue;
        }
        const std::string name = word.substr(0, equals);
        if (name == "event") {
            shape.event = word.substr(equals + 1);
        }
        shape.fields.insert(name);
    }
    return shape;
}

std::vector<std::string> lines_of(std::istream& text, const std::string& with)
{
    std::vector<std::string> lines;
    std::string line;
    while (std::getline(text, line)) {
        if (line.find(with) != std::string::npos) {
            lines.push_back(line);
        }
    }
    return lines;
}

// Makes the three kinds of failed request that docs/OPERATIONS.md walks through.
std::string output_of_failures()
{
    entry_plan plan = usual_entry_plan();
    plan.event_ms = 60;
    // So short that a stream which loses an engine is late however soon that is found.
    plan.gap_objective_ms = 80;
    entry_cluster cluster(plan);
    REQUIRE(cluster.become_ready());
    for (const char* id : {"i-o1", "i-o2", "i-o3"}) {
        cluster.set_faults(id, {{"hang", 1}});
    }
    CHECK(cluster.order(0, "walk-1", "x").status == 504);
    for (const char* id : {"i-o1", "i-o2", "i-o3"}) {
        cluster.set_faults(id, {{"hang", 0}, {"refuse", 1}});
    }
    CHECK(cluster.order(0, "walk-2", "x").status == 503);
    caller_answer answer;
    std::thread asking([&] { answer = cluster.stream(0, "walk-3", "question"); });
    std::string dead;
    CHECK(eventually([&] {
        for (const std::string& id : cluster.replica_ids()) {
            const json runs = cluster.ledger(id).value("runs", json::object());
            if (!runs.contains("walk-3")) {
                continue;
            }
            const std::string path = runs["walk-3"].value("path", "");
            for (const std::string& other : cluster.replica_ids()) {
                const std::size_t at = path.find(to_string(cluster.address_of(other)) + "=");
                if (at != std::string::npos && at > 0) {
                    dead = other;
                    return true;
                }
            }
        }
        return false;
    }));
    // Some events have come when the engine dies.
    std::this_thread::sleep_for(std::chrono::milliseconds(4 * plan.event_ms));
    cluster.processes.at(dead).kill();
    asking.join();
    CHECK(is_whole_stream(answer, "question"));
    cluster.processes.at("daemon0").signal(SIGTERM);
    return cluster.output_of(0);
}

} // namespace

TEST_CASE("the log lines that the operations page quotes are written by a run that fails in these ways")
{
    std::ifstream page(OPERATIONS_PAGE);
    const std::vector<std::string> quoted = lines_of(page, " event=");
    CHECK(quoted.size() >= 7);
    const std::string log = output_of_failures();
    std::istringstream output(log);
    const std::vector<std::string> written = lines_of(output, " event=");
    for (const std::string& line : quoted) {
        CAPTURE(line);
        const line_shape expected = shape_of(line);
        bool found = false;
        for (const std::string& one : written) {
            const line_shape shape = shape_of(one);
            found = found || (shape.event == expected.event && shape.fields == expected.fields);
        }
        CHECK(found);
    }
    const scratch_folder folder;
    const std::string file = folder.write("daemon0.log", log);
    const std::map<std::string, std::string> causes{
        {"walk-1", "(silent)"}, {"walk-2", "(refused)"}, {"walk-3", "(silent) after"}};
    for (const auto& [walk, cause] : causes) {
        const std::string id = walk;
        CAPTURE(id);
        const finished_program explained = run_program("dandelionstep", {"explain", id, file});
        CHECK(explained.exit_status == 0);
        CHECK(explained.output.find(cause) != std::string::npos);
        CHECK(explained.output.find("answered with") != std::string::npos);
    }
    CHECK(run_program("dandelionstep", {"explain", "no-such-id", file}).exit_status == 1);
    CHECK(run_program("dandelionstep", {"explain", "walk-1", folder.path("no-such-file")}).exit_status == 2);
    for (const std::string& line : written) {
        if (line.find("walk-") != std::string::npos) {
            MESSAGE(line);
        }
    }
}
