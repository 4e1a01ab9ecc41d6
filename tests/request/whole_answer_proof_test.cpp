#include "absl/strings/str_cat.h"
#include "adapters/engine_client.hpp"
#include "adapters/http_server.hpp"
#include "common/hash.hpp"
#include "support/generation_bench.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace dandelionstep;
using namespace dandelionstep::testing;

TEST_CASE("the end of an answer has its token count and digest, and only a complete answer has an end")
{
    generation_bench bench;
    bench.answer_tokens(3);

    SUBCASE("complete")
    {
        const auto actions = bench.on(stream_ended{bench.state.attempt, {3}});
        REQUIRE(actions.size() == 1);
        const auto& end = std::get<deliver_end>(actions.front());
        CHECK(end.count.value == 3);
        CHECK(end.digest == sha256_hex("t0 t1 t2 "));
    }
    SUBCASE("truncated: more tokens were sent than received")
    {
        const auto actions = bench.on(stream_ended{bench.state.attempt, {4}});
        CHECK(generation_bench::opening(actions) != nullptr);
        CHECK_FALSE(bench.state.finished);
    }
    SUBCASE("fewer tokens were sent than received")
    {
        CHECK(generation_bench::opening(bench.on(stream_ended{bench.state.attempt, {2}})) != nullptr);
    }
}

TEST_CASE("a line of another stream is dropped and counted, and the attempt continues")
{
    generation_bench bench;
    bench.answer_tokens(2);
    CHECK(bench.on(mismatched_line_received{}).empty());
    CHECK(bench.state.dropped_answers == 1);
    CHECK_FALSE(bench.token(2).empty());
}

TEST_CASE("when the caller disconnects, its attempt is cancelled and the KV caches are freed")
{
    generation_bench bench;
    bench.answer_tokens(3);
    const auto actions = bench.on(caller_gone{});
    REQUIRE(actions.size() == 1);
    CHECK_FALSE(generation_bench::cancelled(actions)->keep_cache);
    CHECK(bench.token(3).empty());
}

namespace {

// Serves `lines` as an engine's stream, broken off at the end if `broken`, and returns the events that the
// client reads.
std::vector<generation_event> read_stream(const std::string& lines, bool broken)
{
    event_loop loop;
    http_client http(loop);
    engine_client engines(http);
    std::shared_ptr<http_reply> kept;
    event_loop::timer end_timer;
    http_server server(
        loop, [&](const received_request& /*request*/, const std::shared_ptr<http_reply>& reply) {
            reply->start_stream(200, "application/x-ndjson");
            reply->write(lines);
            kept = reply;
            // Ends the stream later, so that the written lines are sent first.
            constexpr milliseconds written{50};
            end_timer = loop.run_after(written, [&] { broken ? kept->drop() : kept->end_stream(); });
        });
    const std::uint16_t port = *server.listen({"127.0.0.1", 0});
    target engine = engine_of("e", 0, 12);
    engine.address = {"127.0.0.1", port};
    const chain through = *chain::make({model_id("assistant"), "1", {}}, {12}, {engine});
    generation_request request;
    request.id = request_id("r1");
    std::vector<generation_event> events;
    const auto deadline = loop.run_after({5000}, [&] { loop.stop(); });
    engines.open(request, {{1}, through, {}, std::vector<hop_plan>(1)}, {2000},
                 [&](const generation_event& event) {
                     events.push_back(event);
                     if (!std::holds_alternative<token_received>(event) &&
                         !std::holds_alternative<mismatched_line_received>(event)) {
                         loop.stop();
                     }
                 });
    loop.run();
    return events;
}

} // namespace

TEST_CASE("each line of an engine's stream is read as exactly the event that it describes")
{
    const std::string token = R"({"request":"r1","attempt":1,"index":0,"token":"a "})"
                              "\n";
    const std::string end = R"({"request":"r1","attempt":1,"done":true,"count":1})"
                            "\n";
    std::string mismatched_lines;
    for (int i = 0; i < 20; ++i) {
        mismatched_lines +=
            absl::StrCat(R"({"request":"r)", i + 2, R"(","attempt":1,"index":0,"token":"b "})", "\n");
    }
    struct row {
        std::string name;
        std::string lines;
        bool broken;
        std::size_t tokens;
        std::optional<attempt_failure> failure;
        std::size_t mismatched = 0;
    };
    const std::vector<row> rows{
        {"complete", token + end, false, 1, std::nullopt},
        {"lines after the end", token + end + token + end, false, 1, std::nullopt},
        {"no end", token, false, 1, attempt_failure::reset},
        {"connection broken off", token, true, 1, attempt_failure::reset},
        {"half a line", token + R"({"request":"r1","att)", false, 1, attempt_failure::reset},
        {"another request's line",
         R"({"request":"r2","attempt":1,"index":0,"token":"b "})"
         "\n" +
             token + end,
         false, 1, std::nullopt, 1},
        {"another attempt's line",
         R"({"request":"r1","attempt":2,"index":0,"token":"b "})"
         "\n" +
             token + end,
         false, 1, std::nullopt, 1},
        {"another request's end",
         R"({"request":"r2","attempt":1,"done":true,"count":0})"
         "\n" +
             token + end,
         false, 1, std::nullopt, 1},
        {"another request's error",
         R"({"request":"r2","attempt":1,"error":"hop_failed","target":"e"})"
         "\n" +
             token + end,
         false, 1, std::nullopt, 1},
        {"more lines of others than a request has attempts",
         mismatched_lines + token + mismatched_lines + end, false, 1, std::nullopt, 40},
        {"only lines of others", mismatched_lines, false, 0, attempt_failure::reset, 20},
        {"a line that names no request",
         R"({"attempt":1,"index":0,"token":"b "})"
         "\n",
         false, 0, attempt_failure::protocol},
        {"a line that names no attempt",
         R"({"request":"r1","index":0,"token":"b "})"
         "\n",
         false, 0, attempt_failure::protocol},
        {"no JSON", "<html>\n", false, 0, attempt_failure::protocol},
        {"a token without an index",
         R"({"request":"r1","attempt":1,"token":"b "})"
         "\n",
         false, 1, attempt_failure::reset},
        {"a lost cache",
         R"({"request":"r1","attempt":1,"error":"cache_missing","target":"e"})"
         "\n",
         false, 0, attempt_failure::cache_missing},
        {"a failed hop",
         R"({"request":"r1","attempt":1,"error":"hop_failed","target":"e"})"
         "\n",
         false, 0, attempt_failure::reset},
    };
    for (const row& each : rows) {
        CAPTURE(each.name);
        const std::vector<generation_event> events = read_stream(each.lines, each.broken);
        const auto is_mismatched = [](const generation_event& event) {
            return std::holds_alternative<mismatched_line_received>(event);
        };
        CHECK(std::ranges::count_if(events, is_mismatched) == static_cast<std::ptrdiff_t>(each.mismatched));
        REQUIRE(events.size() == each.tokens + each.mismatched + 1);
        if (each.failure) {
            REQUIRE(std::holds_alternative<attempt_failed>(events.back()));
            CHECK(to_string(std::get<attempt_failed>(events.back()).failure) == to_string(*each.failure));
        } else {
            CHECK(std::holds_alternative<stream_ended>(events.back()));
        }
    }
}
