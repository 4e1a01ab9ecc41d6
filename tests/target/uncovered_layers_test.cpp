#include "target/uncovered_layers.hpp"

#include <doctest/doctest.h>
#include <string>

using namespace dandelionstep;

namespace {

constexpr std::int64_t layers = 8;
const service_id assistant("assistant");

void add_engine(target_registry& registry, const std::string& id, held_layers held)
{
    registered_target engine;
    engine.id = target_id(id);
    engine.service = assistant;
    engine.layers = held;
    registry[engine.id] = engine;
}

} // namespace

TEST_CASE("layers that no usable engine of the service holds count as uncovered")
{
    target_registry registry;
    target_conditions conditions;
    const time_point now{1'000};
    CHECK(uncovered_layers(registry, conditions, assistant, layers, now) == layers);
    add_engine(registry, "first", {0, 4});
    add_engine(registry, "second", {3, 6});
    CHECK(uncovered_layers(registry, conditions, assistant, layers, now) == 2);
    add_engine(registry, "third", {6, 12});
    CHECK(uncovered_layers(registry, conditions, assistant, layers, now) == 0);
    CHECK(uncovered_layers(registry, conditions, service_id("other"), layers, now) == layers);
}

TEST_CASE("an engine that leaves or is unresponsive covers no layers")
{
    target_registry registry;
    target_conditions conditions;
    const time_point now{1'000};
    add_engine(registry, "whole", {0, layers});
    registry[target_id("whole")].leaving = true;
    CHECK(uncovered_layers(registry, conditions, assistant, layers, now) == layers);
    registry[target_id("whole")].leaving = false;
    note_unresponsive(conditions[target_id("whole")], now);
    CHECK(uncovered_layers(registry, conditions, assistant, layers, now) == layers);
}

TEST_CASE("the layer that fewest engines hold tells how many may be lost")
{
    target_registry registry;
    target_conditions conditions;
    const time_point now{1'000};
    CHECK(least_holders(registry, conditions, assistant, layers, now) == 0);
    add_engine(registry, "first", {0, 8});
    add_engine(registry, "second", {0, 4});
    CHECK(least_holders(registry, conditions, assistant, layers, now) == 1);
    add_engine(registry, "third", {4, 8});
    CHECK(least_holders(registry, conditions, assistant, layers, now) == 2);
    CHECK(least_holders(registry, conditions, assistant, 0, now) == 3);
    registry[target_id("third")].leaving = true;
    CHECK(least_holders(registry, conditions, assistant, layers, now) == 1);
    note_unresponsive(conditions[target_id("first")], now);
    CHECK(least_holders(registry, conditions, assistant, layers, now) == 0);
    CHECK(least_holders(registry, conditions, assistant, 0, now) == 1);
}
