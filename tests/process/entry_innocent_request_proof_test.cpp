#include "common/json.hpp"
#include "support/cluster.hpp"
#include "support/entry_cluster.hpp"

#include "absl/strings/str_cat.h"

#include <chrono>
#include <doctest/doctest.h>
#include <string>
#include <thread>
#include <vector>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr milliseconds time_to_spread{300};
// A held request would be refused for ten minutes.
constexpr milliseconds service_limit{10'000};
const std::vector<std::string> targets_of_orders{"i-o1", "i-o2", "i-o3"};

//! Callers who all look up the same, as soon as the object is there.
class equal_lookups {
public:
    explicit equal_lookups(entry_cluster& cluster)
    {
        constexpr int count = 9;
        for (int i = 0; i < count; ++i) {
            this->callers.emplace_back([&cluster, i] { cluster.look_up(0, absl::StrCat("lookup-", i)); });
        }
    }

    void await()
    {
        for (std::thread& caller : this->callers) {
            caller.join();
        }
    }

private:
    std::vector<std::thread> callers;
};

void lose_all_targets(entry_cluster& cluster)
{
    for (const std::string& id : targets_of_orders) {
        cluster.processes.at(id).kill();
    }
    for (const std::string& id : targets_of_orders) {
        cluster.start_replica(id);
    }
}

} // namespace

TEST_CASE("a lookup that was answered before is served again after all its targets were lost under it")
{
    entry_plan plan = usual_entry_plan();
    plan.daemons = {"n", "n"};
    entry_cluster cluster(plan);
    REQUIRE(cluster.become_ready());
    REQUIRE(cluster.look_up(0, "before").status == 200);
    for (const std::string& id : targets_of_orders) {
        cluster.set_faults(id, {{"hang", 9}});
    }
    equal_lookups lookups(cluster);
    std::this_thread::sleep_for(std::chrono::milliseconds(time_to_spread.count));
    lose_all_targets(cluster);
    lookups.await();
    for (std::size_t daemon = 0; daemon < plan.daemons.size(); ++daemon) {
        CAPTURE(daemon);
        CHECK(eventually([&] { return cluster.look_up(daemon, "after").status == 200; }, service_limit));
    }
}
