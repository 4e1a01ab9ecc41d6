#include "operator_config.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;
using namespace dandelionstep::platform;

namespace {

const std::string whole = R"({"Version":7,
"Routes":[
 {"Name":"r1","Host":"a.example","Prefix":"/x/","Kind":"streaming","TimeoutMs":20000,"TargetLatencyMs":500,
  "Priority":1,"TrafficSplit":[{"Service":"s1","Weight":90},{"Service":"s2","Weight":10}],"MaxAttempts":2,
  "Public":false,"Sticky":true,"Resumable":true,"TargetGapMs":200},
 {"Name":"r2","Host":"a.example","Prefix":"/y/","Kind":"safe","TimeoutMs":600,"Service":"s2","MaxAttempts":2,
  "Public":true},
 {"Name":"r3","Host":"a.example","Prefix":"/z/","Kind":"unsafe","Service":"s2"},
 {"Name":"r4","Host":"a.example","Prefix":"/n/","Kind":"of-tomorrow","Service":"s2"}],
"Services":[
 {"Name":"s1","HealthCheckPath":"/health","MaxConnections":1138,"Engine":{"Slots":192,"CacheTokenBytes":918000,
  "Stride":3,"Models":[{"Name":"m","pace":1.0,"LoadS":14.0}],"step_ms":1.02,"per_seq_ms":0.00714,
  "context_per_k":0.00956,"read_per_s":105000.0,"usual":{"prompt":774,"answer":200},"Layers":80,"LayerMb":1750.0,
  "Kinds":[{"Name":"a100","Megabytes":72000.0,"pace":2.4,"ReadFactor":3.2}]}},
 {"Name":"s2","MaxConnections":110}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"t1","ApiKeys":["k1","k2"],"Priority":1},{"Name":"t2","ApiKeys":["k3"]}]})";

} // namespace

TEST_CASE("routes, services, bounds and keys are read")
{
    const auto read = parse_operator_config(whole);
    REQUIRE(read.ok());
    CHECK(read->version.value == 7);
    const entry_route& stream = read->routes.at("a.example").at("/x/");
    CHECK(stream.kind == route_kind::stream);
    CHECK(stream.resumable);
    CHECK(stream.max_attempts == 2);
    CHECK(stream.timeout == milliseconds{20'000});
    CHECK(stream.gap_objective == milliseconds{200});
    CHECK(stream.services.size() == 2);
    CHECK(read->routes.at("a.example").at("/y/").kind == route_kind::idempotent);
    CHECK(read->routes.at("a.example").at("/y/").is_public);
    CHECK(read->bounds.idle_timeout == milliseconds{15'000});
    CHECK(read->has_organisations);
    CHECK(read->keys.at("k2").organisation.value == "t1");
    CHECK(read->keys.at("k2").priority == 1);
    CHECK_FALSE(read->keys.at("k3").priority.has_value());
}

TEST_CASE("a kind that is not known may run at most once")
{
    const auto read = parse_operator_config(whole);
    REQUIRE(read.ok());
    CHECK(read->routes.at("a.example").at("/z/").kind == route_kind::at_most_once);
    CHECK(read->routes.at("a.example").at("/n/").kind == route_kind::at_most_once);
    CHECK(read->routes.at("a.example").at("/z/").max_attempts == 1);
}

TEST_CASE("engines' sizes and speeds are read with their units")
{
    const auto read = parse_operator_config(whole);
    REQUIRE(read.ok());
    CHECK_FALSE(read->services.at(service_id("s2")).engine.has_value());
    const engine_profile& engine = *read->services.at(service_id("s1")).engine;
    CHECK(engine.layers == 80);
    CHECK(engine.layer_mb == 1750);
    CHECK(engine.kv_cache_bytes_per_token == 918'000);
    CHECK(engine.prefill_tokens_per_ms == 105);
    CHECK(engine.load_time == milliseconds{14'000});
    CHECK(engine.mean_prompt_tokens == 774);
    CHECK(engine.kinds.at("a100").memory_mb == 72'000);
    CHECK(engine.kinds.at("a100").prefill_factor == 3.2);
}

TEST_CASE("a configuration that is none is refused; missing or odd parts leave their defaults")
{
    for (const std::string text : {"", "x", "[]", "{}", R"({"Version":"7"})", "{\"Version\":7", "\xff\xfe"}) {
        CAPTURE(text);
        CHECK_FALSE(parse_operator_config(text).ok());
    }
    const auto odd = parse_operator_config(
        R"({"Version":1,"Routes":[3,{"Host":5,"Prefix":null,"TimeoutMs":"x"}],"Services":{},"Tenants":[{"ApiKeys":[1]}]})");
    REQUIRE(odd.ok());
    CHECK(odd->services.empty());
    CHECK(odd->keys.empty());
    CHECK(odd->bounds.max_body_bytes == caller_bounds{}.max_body_bytes);
}

TEST_CASE("without tenants no key is asked for")
{
    const auto read = parse_operator_config(R"({"Version":1})");
    REQUIRE(read.ok());
    CHECK_FALSE(read->has_organisations);
}
