#include "route/load_control.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;

namespace {

entry_config config_with(const std::vector<int>& priorities, const std::vector<double>& step_factors)
{
    entry_config config;
    entry_service service;
    service.id = service_id("llm");
    service.engine = engine_profile{};
    for (const double factor : step_factors) {
        service.engine->kinds["kind-" + std::to_string(service.engine->kinds.size())] = {72'000, factor, 1};
    }
    config.services[service.id] = service;
    for (const int priority : priorities) {
        entry_route route;
        route.kind = route_kind::stream;
        route.priority = priority;
        route.services = {{service.id, 1}};
        config.routes["host"]["/" + std::to_string(config.routes["host"].size()) + "/"] = route;
    }
    return config;
}

} // namespace

TEST_CASE("load control is on where streams of several priorities compete for engines")
{
    SUBCASE("streams of one priority on similar accelerators are served as before")
    {
        CHECK_FALSE(needs_load_control(config_with({1, 1, 1}, {2.4, 5.6, 16})));
    }
    SUBCASE("streams of several priorities share a service")
    {
        CHECK(needs_load_control(config_with({0, 1, 2}, {2.4, 5.3, 16})));
    }
    SUBCASE(
        "accelerators that differ widely in speed alone call for none, as fewer callers were served in time")
    {
        CHECK_FALSE(needs_load_control(config_with({1, 1}, {1.4, 3.1, 16})));
    }
    SUBCASE("a call with another priority does not compete with streams")
    {
        entry_config config = config_with({1}, {2.4, 16});
        entry_route call;
        call.kind = route_kind::at_most_once;
        call.priority = 2;
        call.services = {{service_id("llm"), 1}};
        config.routes["host"]["/call/"] = call;
        CHECK_FALSE(needs_load_control(config));
    }
    SUBCASE("a service without engines calls for none")
    {
        entry_config config = config_with({0, 2}, {1, 20});
        config.services[service_id("llm")].engine.reset();
        CHECK_FALSE(needs_load_control(config));
    }
}

TEST_CASE("the mode's name is read, and an unknown name is an error")
{
    CHECK(parse_load_control_mode("auto") == load_control_mode::automatic);
    CHECK(parse_load_control_mode("on") == load_control_mode::on);
    CHECK(parse_load_control_mode("off") == load_control_mode::off);
    CHECK_FALSE(parse_load_control_mode("On").has_value());
}
