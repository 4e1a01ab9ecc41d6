#include "request/prompt_segments.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;

namespace {

prompt_segment named(const std::string& id)
{
    return {segment_id(id), {}};
}

} // namespace

TEST_CASE("equal segments of a service have equal fingerprints, once each")
{
    const service_id service("a");
    const auto some = distinct_segments(service, {segment_id("x"), segment_id("y"), segment_id("x")});
    REQUIRE(some.size() == 2);
    CHECK(some[0].fingerprint != some[1].fingerprint);
    CHECK(distinct_segments(service, {segment_id("y")})[0].fingerprint == some[1].fingerprint);
    CHECK(distinct_segments(service_id("b"), {segment_id("y")})[0].fingerprint != some[1].fingerprint);
    CHECK(distinct_segments(service_id("ax"), {segment_id("")})[0].fingerprint != some[0].fingerprint);
}

// Only the first 64 segments counted, so that one behind them that crashes targets was never recognised.
TEST_CASE("of very many segments each one counts, wherever it stands")
{
    std::vector<segment_id> many;
    many.reserve(4'000);
    for (int i = 0; i < 4'000; ++i) {
        many.emplace_back(std::to_string(i / 2));
    }
    const std::vector<prompt_segment> distinct = distinct_segments(service_id("a"), many);
    REQUIRE(distinct.size() == 2'000);
    CHECK(distinct.front().id == segment_id("0"));
    CHECK(distinct.back().id == segment_id("1999"));
}

TEST_CASE("a log line names the first segments of a prompt, each up to a bound")
{
    CHECK(segments_text({}).empty());
    CHECK(segments_text({named("a"), named("b")}) == "a,b");
    CHECK(segments_text(std::vector(9, named("a"))) == "a,a,a,a,a,a,a,a,...");
    CHECK(segments_text({named(std::string(99, 'a'))}) == std::string(32, 'a'));
}
