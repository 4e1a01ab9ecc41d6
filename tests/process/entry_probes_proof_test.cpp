#include "support/cluster.hpp"
#include "support/entry_cluster.hpp"
#include "support/entry_streams.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <doctest/doctest.h>
#include <sstream>
#include <thread>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr std::size_t stream_count = 32;
// About 29 events.
constexpr const char* question = "question 7";

// Events come further apart than the silence after which engines are asked, as under overload.
entry_plan plan_of_silent_streams(const std::string& load_control)
{
    entry_plan plan = usual_entry_plan();
    plan.event_ms = 130;
    plan.load_control = load_control;
    return plan;
}

struct observed_streams {
    std::size_t whole = 0;
    std::int64_t probes = 0;
    std::int64_t saved = 0;
    //! From the strike until the last stream had left the engine; 0 when none did.
    std::int64_t last_left_ms = 0;
    std::string log;
};

std::int64_t wall_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// Many streams at once; after some events of them, an engine that is no stream's first is stopped silently.
observed_streams observe(const std::string& load_control, bool stops_engine)
{
    constexpr std::chrono::milliseconds before_strike{1'500};
    entry_cluster cluster(plan_of_silent_streams(load_control));
    REQUIRE(cluster.become_ready());
    const std::int64_t probes_before =
        std::max<std::int64_t>(0, cluster.gauge_of(0, "probes_total{reason=\"silent_stream\"}"));
    std::vector<caller_answer> answers(stream_count);
    std::vector<std::thread> asking;
    for (std::size_t i = 0; i < stream_count; ++i) {
        asking.emplace_back([&, i] { answers[i] = cluster.stream(0, absl::StrCat("s-", i), question); });
        std::this_thread::sleep_for(std::chrono::milliseconds(13));
    }
    observed_streams seen;
    std::int64_t struck_at = 0;
    std::string stopped;
    if (stops_engine) {
        std::this_thread::sleep_for(before_strike);
        stopped = engine_in(cluster, path_of(cluster, "s-0"), false);
        REQUIRE_FALSE(stopped.empty());
        struck_at = wall_ms();
        cluster.processes.at(stopped).signal(SIGSTOP);
    }
    std::ranges::for_each(asking, &std::thread::join);
    seen.whole = static_cast<std::size_t>(std::ranges::count_if(
        answers, [](const caller_answer& answer) { return is_whole_stream(answer, question); }));
    seen.probes = cluster.gauge_of(0, "probes_total{reason=\"silent_stream\"}") - probes_before;
    seen.saved = cluster.gauge_of(0, "probes_saved_total{reason=\"silent_stream\"}");
    cluster.processes.at("daemon0").signal(SIGTERM);
    seen.log = cluster.output_of(0);
    std::istringstream left(lines_with(seen.log, " left=" + stopped + " why=silent"));
    for (std::string line; stops_engine && std::getline(left, line);) {
        seen.last_left_ms = std::max(seen.last_left_ms, number_in(line, "ts_ms") - struck_at);
    }
    return seen;
}

} // namespace

TEST_CASE("silent streams cost less than a probe a request, as other streams' events show who lives")
{
    const observed_streams seen = observe("on", false);
    CHECK(seen.whole == stream_count);
    CHECK(seen.saved > 0);
    CHECK(seen.probes < static_cast<std::int64_t>(stream_count));
}

// Without load control it takes 280 to 460 ms, as probes of engines that answered pause for long.
TEST_CASE("an engine that falls silent under many streams is found as early, whatever events came before")
{
    constexpr std::int64_t longest_ms = 600;
    const observed_streams seen = observe("on", true);
    CAPTURE(lines_with(seen.log, "event=engine_"));
    CHECK(seen.whole == stream_count);
    CHECK(seen.last_left_ms > 0);
    CHECK(seen.last_left_ms <= longest_ms);
}

TEST_CASE("without load control engines are asked as before")
{
    const observed_streams seen = observe("off", false);
    CHECK(seen.whole == stream_count);
    CHECK(seen.probes > 0);
    CHECK(seen.saved == -1);
}
