#include "common/json.hpp"
#include "support/child_process.hpp"
#include "support/cluster.hpp"
#include "support/entry_cluster.hpp"
#include "support/peak_memory.hpp"
#include "support/scripted_cluster.hpp"
#include "support/scripted_peer.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <vector>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr std::size_t long_bytes = 4'000'000;
constexpr std::size_t max_body_bytes = 4'194'304;
constexpr std::size_t short_callers = 10;
constexpr std::size_t short_bytes = 600;
constexpr milliseconds longest_wait{20'000};
constexpr std::int64_t kb_per_mb = 1'024;

void allow_long_bodies(json& config)
{
    config["Limits"]["MaxBodyBytes"] = max_body_bytes;
    for (json& route : config["Routes"]) {
        route["TimeoutMs"] = 10'000;
    }
}

std::string attempt_name(std::size_t caller)
{
    return "many-" + std::to_string(caller);
}

// All callers order at the same time; the last ones have short bodies. They read while they write, as an
// early refusal asks for.
std::vector<raw_answer> order_together(entry_cluster& cluster, std::size_t callers)
{
    event_loop loop;
    std::vector<std::shared_ptr<raw_connection>> open;
    for (std::size_t i = 0; i < callers + short_callers; ++i) {
        open.push_back(connect_raw(loop, cluster.callers_of(0)));
        open.back()->write(request_bytes("POST", "/order/x", attempt_name(i), "",
                                         std::string(i < callers ? long_bytes : short_bytes, 'x')));
    }
    const auto is_answered = [](const auto& one) { return !scripted_cluster::answers_on(*one).empty(); };
    run_until(
        loop, [&] { return std::ranges::all_of(open, is_answered); }, longest_wait);
    std::vector<raw_answer> answers;
    answers.reserve(open.size());
    for (const auto& one : open) {
        answers.push_back(is_answered(one) ? scripted_cluster::answers_on(*one).front() : raw_answer{});
    }
    return answers;
}

} // namespace

// The bodies of many callers, each within its bound, took a daemon past its memory; it was ended, with what
// it had accepted.
TEST_CASE("long orders of many callers keep a daemon within its memory, and none that was accepted is lost")
{
    struct size_case {
        std::int64_t memory_mb;
        std::size_t callers;
    };
    for (const size_case& one : {size_case{112, 60}, size_case{260, 90}}) {
        CAPTURE(one.memory_mb);
        entry_plan plan = usual_entry_plan();
        plan.memory_mb = one.memory_mb;
        entry_cluster cluster(plan);
        REQUIRE(cluster.become_ready());
        cluster.write_config(allow_long_bodies);
        REQUIRE(
            eventually([&] { return cluster.order(0, "long", std::string(long_bytes, 'x')).status == 200; }));
        const std::vector<raw_answer> answers = order_together(cluster, one.callers);
        std::size_t answered = 0;
        for (std::size_t i = 0; i < answers.size(); ++i) {
            CAPTURE(i);
            CAPTURE(answers[i].status);
            CHECK(answers[i].whole);
            CHECK((i < one.callers || answers[i].status == 200));
            answered += answers[i].status == 200 ? 1 : 0;
        }
        const std::int64_t peak_kb = peak_memory_kb(cluster.processes.at("daemon0"));
        MESSAGE("peak of ", peak_kb / kb_per_mb, " MB of ", one.memory_mb, ", ", answered, " of ",
                answers.size(), " answered");
        CHECK(peak_kb < one.memory_mb * kb_per_mb);
        CHECK(answered > short_callers);
        CHECK(cluster.gauge_of(0, "request_bytes_held") == 0);
    }
}
