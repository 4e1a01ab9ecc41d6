#include "support/cluster.hpp"
#include "support/entry_cluster.hpp"

#include <chrono>
#include <doctest/doctest.h>
#include <string>
#include <thread>
#include <vector>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr const char* text = "a stream that is aboard when its engines end";
// Their layers are ordered and loaded elsewhere. The stand-ins' registrations never lapse.
constexpr milliseconds replacement_limit{3'000};

void end_first_engines(entry_cluster& cluster)
{
    for (const std::string& id : cluster.replica_ids()) {
        if (cluster.holds_first_layer(id)) {
            cluster.processes.at(id).kill();
        }
    }
}

void check_replaced(const std::vector<std::string>& daemons, std::size_t serving)
{
    entry_plan plan = usual_entry_plan();
    plan.daemons = daemons;
    plan.event_ms = 60;
    entry_cluster cluster(plan);
    REQUIRE(cluster.become_ready());
    std::thread caller([&] { cluster.stream(serving, "aboard", text); });
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    end_first_engines(cluster);
    CHECK(eventually([&] { return is_whole_stream(cluster.stream(serving, "later", text), text); },
                     replacement_limit));
    caller.join();
}

} // namespace

TEST_CASE("no path is left until the registrations of ended engines lapse")
{
    check_replaced({"n"}, 0);
}

TEST_CASE(
    "no path is left until the registrations of ended engines lapse, as the placing daemon is elsewhere")
{
    SUBCASE("it started first")
    {
        check_replaced({"m", "n"}, 1);
    }
    SUBCASE("it started last")
    {
        check_replaced({"n", "m"}, 0);
    }
}
