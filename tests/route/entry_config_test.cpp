#include "route/entry_config.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;

namespace {

entry_route route_with(const std::string& name, const std::string& prefix)
{
    entry_route route;
    route.name = name;
    route.host = "a.example";
    route.prefix = prefix;
    return route;
}

entry_config config_with(const std::vector<entry_route>& routes)
{
    entry_config config;
    for (const entry_route& route : routes) {
        config.routes[route.host][route.prefix] = route;
    }
    return config;
}

struct match_case {
    std::string host;
    std::string target;
    std::string expected;
};

} // namespace

TEST_CASE("the host's route with the longest matching prefix is selected")
{
    const entry_config config =
        config_with({route_with("short", "/a/"), route_with("long", "/a/b/"), route_with("other", "/c/")});
    const std::vector<match_case> table{
        {"a.example", "/a/x", "short"},
        {"a.example", "/a/b/x", "long"},
        {"a.example", "/a/b/", "long"},
        {"a.example", "/a/b", "short"},
        {"a.example", "/a/bc/x", "short"},
        {"a.example", "/c/x?y=/a/b/", "other"},
        {"a.example", "/d/x", ""},
        {"a.example", "/a", ""},
        {"a.example", "", ""},
        {"b.example", "/a/x", ""},
        {"a.example:8080", "/a/x", "short"},
    };
    for (const match_case& one : table) {
        CAPTURE(one.host);
        CAPTURE(one.target);
        const entry_route* found = find_route(config, one.host, one.target);
        CHECK((found != nullptr ? found->name : "") == one.expected);
    }
}

TEST_CASE("a root prefix matches every path of its host")
{
    const entry_config config = config_with({route_with("root", "/")});
    REQUIRE(find_route(config, "a.example", "/anything") != nullptr);
    CHECK(find_route(config, "a.example", "/") != nullptr);
}

TEST_CASE("services are picked in proportion to their weights")
{
    entry_route route;
    route.services = {{service_id("a"), 90}, {service_id("none"), 0}, {service_id("b"), 10}};
    int to_b = 0;
    constexpr int draws = 1000;
    for (int i = 0; i < draws; ++i) {
        const service_id* picked = pick_service(route, static_cast<double>(i) / draws);
        REQUIRE(picked != nullptr);
        REQUIRE(picked->value != "none");
        to_b += picked->value == "b" ? 1 : 0;
    }
    CHECK(to_b == draws / 10);
}

TEST_CASE("no service is picked from a route without a service of positive weight")
{
    entry_route route;
    CHECK(pick_service(route, 0.5) == nullptr);
    route.services = {{service_id("a"), 0}};
    CHECK(pick_service(route, 0.5) == nullptr);
}
