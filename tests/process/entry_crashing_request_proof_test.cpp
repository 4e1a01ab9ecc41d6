#include "common/json.hpp"
#include "support/cluster.hpp"
#include "support/entry_cluster.hpp"
#include "support/replica_keeper.hpp"

#include "absl/strings/str_cat.h"

#include <atomic>
#include <doctest/doctest.h>
#include <functional>
#include <string>
#include <thread>
#include <vector>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr const char* crashing_text = "ends its target";
constexpr milliseconds restart_pause{600};
constexpr milliseconds repeat_pause{150};
// Retries that may reach targets later than the stability window after the third death.
constexpr std::int64_t allowed_retries = 3;

void sleep_for(milliseconds span)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(span.count));
}

entry_plan plan_of_two_data_centres()
{
    entry_plan plan = usual_entry_plan();
    plan.daemons = {"n", "n", "m"};
    plan.crashes_on = crashing_text;
    return plan;
}

//! Chooses replicas that answer each request with a failure of their own instead of running it.
using choose_function = std::function<std::vector<std::string>(entry_cluster&)>;

std::vector<std::string> nobody(entry_cluster& /*cluster*/)
{
    return {};
}

//! One of the engines that hold the first layers, at which streams enter.
std::vector<std::string> one_first_engine(entry_cluster& cluster)
{
    for (const std::string& id : cluster.replica_ids()) {
        if (cluster.holds_first_layer(id)) {
            return {id};
        }
    }
    return {};
}

using ask_function = std::function<caller_answer(std::size_t daemon, const std::string& attempt)>;

//! Callers who send one request to all daemons again and again, while replicas that ended are started anew.
class repeated_request {
public:
    repeated_request(entry_cluster& cluster, std::size_t daemons, ask_function ask)
        : replicas(cluster, restart_pause), ask(std::move(ask))
    {
        for (std::size_t i = 0; i < daemons; ++i) {
            this->callers.emplace_back([this, i] { this->repeat(i); });
        }
    }

    void run_for(milliseconds span)
    {
        this->replicas.tend_for(span);
        this->stopping = true;
        for (std::thread& caller : this->callers) {
            caller.join();
        }
        this->replicas.restore();
    }

    replica_keeper replicas;
    //! Answers that say that the request has not run.
    std::atomic<std::int64_t> refused = 0;
    std::atomic<std::int64_t> refused_with_return_time = 0;

private:
    void repeat(std::size_t daemon)
    {
        for (int round = 0; !this->stopping; ++round) {
            const caller_answer answer = this->ask(daemon, absl::StrCat("c", daemon, "-", round));
            if (answer.status == 503) {
                ++this->refused;
                this->refused_with_return_time += find_header(answer.headers, "Retry-After").empty() ? 0 : 1;
            }
            sleep_for(repeat_pause);
        }
    }

    ask_function ask;
    std::vector<std::thread> callers;
    std::atomic<bool> stopping = false;
};

void check_bounded(entry_cluster& cluster, const entry_plan& plan, const ask_function& ask,
                   const choose_function& choose_failing = nobody)
{
    constexpr milliseconds span{9'000};
    REQUIRE(cluster.become_ready());
    const std::vector<std::string> failing = choose_failing(cluster);
    for (const std::string& id : failing) {
        cluster.set_faults(id, {{"fails_all", true}});
    }
    repeated_request repeated(cluster, plan.daemons.size(), ask);
    repeated.run_for(span);
    REQUIRE(repeated.replicas.ends().size() >= 3);
    const time_point third = repeated.replicas.ends()[2];
    MESSAGE("targets ended: ", repeated.replicas.ends().size());
    CHECK(repeated.replicas.ends_after(third + milliseconds{plan.stability_ms}) <= allowed_retries);
    CHECK(repeated.refused > 0);
    CHECK(repeated.refused == repeated.refused_with_return_time);
    for (const std::string& id : failing) {
        cluster.set_faults(id, {{"fails_all", false}});
    }
    // Whoever asks something else is served as before.
    REQUIRE(cluster.await_layers());
    for (std::size_t daemon = 0; daemon < plan.daemons.size(); ++daemon) {
        CHECK(eventually(
            [&] { return is_whole_stream(cluster.stream(daemon, "after", "question"), "question"); }));
        CHECK(cluster.order(daemon, absl::StrCat("after", daemon), "order").status == 200);
    }
}

} // namespace

TEST_CASE("a stream that ends the first engine of its path is refused everywhere after three deaths")
{
    const entry_plan plan = plan_of_two_data_centres();
    entry_cluster cluster(plan);
    check_bounded(cluster, plan, [&](std::size_t daemon, const std::string& attempt) {
        return cluster.stream(daemon, attempt, crashing_text);
    });
}

TEST_CASE("a stream that ends the later engines of its path is refused everywhere after three deaths")
{
    entry_plan plan = plan_of_two_data_centres();
    plan.crashes_later_engines = true;
    entry_cluster cluster(plan);
    check_bounded(cluster, plan, [&](std::size_t daemon, const std::string& attempt) {
        return cluster.stream(daemon, attempt, crashing_text);
    });
}

TEST_CASE("an order that ends the replicas that run it is refused everywhere after three deaths")
{
    const entry_plan plan = plan_of_two_data_centres();
    entry_cluster cluster(plan);
    check_bounded(cluster, plan, [&](std::size_t daemon, const std::string& attempt) {
        return cluster.order(daemon, attempt, crashing_text);
    });
}

TEST_CASE("a lookup that ends the replicas that run it is refused everywhere after three deaths")
{
    entry_plan plan = plan_of_two_data_centres();
    plan.crashes_on = "ends-its-target";
    entry_cluster cluster(plan);
    check_bounded(cluster, plan, [&](std::size_t daemon, const std::string& attempt) {
        return cluster.ask(daemon, "GET", "/look/ends-its-target", attempt);
    });
}

TEST_CASE("a failure that a sound replica answers does not clear a lookup that ends the others")
{
    entry_plan plan = plan_of_two_data_centres();
    plan.crashes_on = "ends-its-target";
    entry_cluster cluster(plan);
    const ask_function ask = [&](std::size_t daemon, const std::string& attempt) {
        return cluster.ask(daemon, "GET", "/look/ends-its-target", attempt);
    };
    check_bounded(cluster, plan, ask, [](entry_cluster&) { return std::vector<std::string>{"i-o3"}; });
}

TEST_CASE("a failure that a sound engine answers does not clear a stream that ends the others")
{
    const entry_plan plan = plan_of_two_data_centres();
    entry_cluster cluster(plan);
    const ask_function ask = [&](std::size_t daemon, const std::string& attempt) {
        return cluster.stream(daemon, attempt, crashing_text);
    };
    check_bounded(cluster, plan, ask, one_first_engine);
}
