#include "common/json.hpp"
#include "support/cluster.hpp"
#include "support/entry_cluster.hpp"
#include "support/replica_keeper.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <atomic>
#include <doctest/doctest.h>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr const char* crashing_segment = "bad0";
constexpr milliseconds restart_pause{600};
constexpr milliseconds crashing_pause{150};
constexpr milliseconds sound_pause{60};
// Requests with the segment that may reach targets later than the stability window after the fifth crash.
constexpr std::int64_t allowed_requests = 3;
constexpr std::size_t crashes_until_known = 5;
// Sound requests that are judged, and how many of them are served at the first attempt.
constexpr std::size_t least_judged = 20;
constexpr double least_served = 0.9;

entry_plan plan_of_two_data_centres()
{
    entry_plan plan = usual_entry_plan();
    plan.daemons = {"n", "n", "m"};
    plan.crashes_on = crashing_segment;
    return plan;
}

//! Sends a request whose prompt has these segments.
using ask_function =
    std::function<caller_answer(std::size_t daemon, const std::string& id, const std::string& segments)>;

struct sound_result {
    time_point sent;
    bool is_served = false;
};

//! Callers at all daemons: some whose requests share a segment that crashes targets, no two alike, and some
//! whose requests share the segments before it.
class mixed_callers {
public:
    mixed_callers(std::size_t daemons, std::vector<std::string> crashing_in, ask_function ask)
        : crashing(std::move(crashing_in)), ask(std::move(ask))
    {
        for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
            this->callers.emplace_back([this, daemon] { this->send_crashing(daemon); });
            this->callers.emplace_back([this, daemon] { this->send_sound(daemon); });
        }
    }

    void stop()
    {
        this->is_stopping = true;
        for (std::thread& caller : this->callers) {
            caller.join();
        }
    }

    std::vector<sound_result> results;
    std::atomic<std::int64_t> refused = 0;
    std::atomic<std::int64_t> refused_with_return_time = 0;

private:
    void send_crashing(std::size_t daemon)
    {
        for (int round = 0; !this->is_stopping; ++round) {
            const std::string id = absl::StrCat("crashing-", daemon, "-", round);
            const std::string& segment =
                this->crashing[static_cast<std::size_t>(round) % this->crashing.size()];
            const caller_answer answer =
                this->ask(daemon, id, absl::StrCat("5a1:40,", segment, ":30,", id, ":700"));
            if (answer.status == 503) {
                ++this->refused;
                this->refused_with_return_time += find_header(answer.headers, "Retry-After").empty() ? 0 : 1;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(crashing_pause.count));
        }
    }

    void send_sound(std::size_t daemon)
    {
        for (int round = 0; !this->is_stopping; ++round) {
            const std::string id = absl::StrCat("sound-", daemon, "-", round);
            const time_point sent = event_loop::now();
            const caller_answer answer = this->ask(daemon, id, absl::StrCat("5a1:40,", id, ":700"));
            const std::scoped_lock lock(this->mutex);
            this->results.push_back({sent, answer.status == 200 && answer.whole});
            std::this_thread::sleep_for(std::chrono::milliseconds(sound_pause.count));
        }
    }

    std::vector<std::string> crashing;
    ask_function ask;
    std::mutex mutex;
    std::vector<std::thread> callers;
    std::atomic<bool> is_stopping = false;
};

void check_served(const std::vector<sound_result>& results, time_point from)
{
    std::size_t judged = 0;
    std::size_t served = 0;
    for (const sound_result& one : results) {
        judged += one.sent > from ? 1 : 0;
        served += one.sent > from && one.is_served ? 1 : 0;
    }
    const auto all = std::ranges::count_if(results, &sound_result::is_served);
    MESSAGE("sound requests served: ", all, " of ", results.size(), ", later ", served, " of ", judged);
    CHECK(judged >= least_judged);
    CHECK(static_cast<double>(served) >= least_served * static_cast<double>(judged));
}

void check_recognised(const entry_plan& plan, const std::vector<std::string>& crashing,
                      const std::function<ask_function(entry_cluster&)>& ask_at)
{
    constexpr milliseconds span{9'000};
    constexpr milliseconds judged_span{4'000};
    entry_cluster cluster(plan);
    REQUIRE(cluster.become_ready());
    replica_keeper replicas(cluster, restart_pause);
    mixed_callers callers(plan.daemons.size(), crashing, ask_at(cluster));
    const milliseconds window{plan.stability_ms};
    const auto known_at = [&] {
        return replicas.ends().at(std::min(replicas.ends().size(), crashes_until_known) - 1);
    };
    replicas.tend_for(span);
    REQUIRE_FALSE(replicas.ends().empty());
    while (event_loop::now() < known_at() + window * 2 + judged_span) {
        replicas.tend_for(judged_span / 10);
    }
    callers.stop();
    replicas.restore();
    const std::vector<time_point>& ends = replicas.ends();
    MESSAGE("targets ended: ", ends.size());
    const time_point known = known_at();
    if (ends.size() >= crashes_until_known) {
        CHECK(replicas.ends_after(known + window) <= allowed_requests);
    }
    CHECK(callers.refused > 0);
    CHECK(callers.refused == callers.refused_with_return_time);
    check_served(callers.results, known + window * 2);
}

ask_function streams_of(entry_cluster& cluster)
{
    return [&cluster](std::size_t daemon, const std::string& id, const std::string& segments) {
        return cluster.ask(daemon, "POST", "/ask/x", id, id, {{"Dandelionstep-Prompt-Prefix", segments}});
    };
}

ask_function orders_of(entry_cluster& cluster)
{
    return [&cluster](std::size_t daemon, const std::string& id, const std::string& segments) {
        return cluster.ask(daemon, "POST", "/order/x", id, id, {{"Dandelionstep-Prompt-Prefix", segments}});
    };
}

ask_function lookups_of(entry_cluster& cluster)
{
    return [&cluster](std::size_t daemon, const std::string& id, const std::string& segments) {
        return cluster.ask(daemon, "GET", absl::StrCat("/look/", id), id, "",
                           {{"Dandelionstep-Prompt-Prefix", segments}});
    };
}

} // namespace

TEST_CASE("streams that share a segment go on crashing first engines, and sound ones are lost with them")
{
    check_recognised(plan_of_two_data_centres(), {crashing_segment}, streams_of);
}

TEST_CASE("streams that share a segment go on crashing later engines, and sound ones are lost with them")
{
    entry_plan plan = plan_of_two_data_centres();
    plan.crashes_later_engines = true;
    check_recognised(plan, {crashing_segment}, streams_of);
}

TEST_CASE(
    "streams that end with their connection look answered when their engine crashes, and crash the next")
{
    entry_plan plan = plan_of_two_data_centres();
    plan.streams_end_with_connection = true;
    check_recognised(plan, {crashing_segment}, streams_of);
}

TEST_CASE("streams that share one of two segments go on crashing engines")
{
    check_recognised(plan_of_two_data_centres(), {"bad01", "bad02"}, streams_of);
}

TEST_CASE("orders that share a segment go on crashing replicas")
{
    check_recognised(plan_of_two_data_centres(), {crashing_segment}, orders_of);
}

TEST_CASE("lookups that share a segment go on crashing replicas")
{
    check_recognised(plan_of_two_data_centres(), {crashing_segment}, lookups_of);
}
