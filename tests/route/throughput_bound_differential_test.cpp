#include "route/throughput_bound.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

namespace dandelionstep {
namespace {

constexpr std::int64_t layer_total = 3;
constexpr double unlimited = 1e12;

declarations empty_model()
{
    declarations declared;
    model assistant;
    assistant.id = model_id("assistant");
    assistant.version = "1";
    assistant.layer_count = layer_index{layer_total};
    assistant.activation_bytes = {1'000'000};
    declared.models.emplace(assistant.id, assistant);
    return declared;
}

void add_engine(declarations& declared, const std::string& name, const std::string& data_centre,
                std::int64_t begin, std::int64_t end, double rate)
{
    target added;
    added.id = target_id(name);
    added.data_centre = data_centre_id(data_centre);
    added.engine = engine_spec{};
    added.engine->variant = {model_id("assistant"), "1", {}};
    added.engine->layers = {layer_index{begin}, layer_index{end}};
    added.engine->tokens_per_second = rate;
    declared.targets.emplace(added.id, added);
}

// Each activation has one megabyte, so a link's rate in megabytes per second is its rate in tokens per
// second.
void add_link(declarations& declared, const std::string& from, const std::string& to, double rate)
{
    declared.links.push_back({data_centre_id(from), data_centre_id(to), 0.5, rate});
}

double link_rate(const declarations& declared, std::size_t from, std::size_t to)
{
    const std::string a(1, static_cast<char>('a' + from));
    const std::string b(1, static_cast<char>('a' + to));
    for (const link& each : declared.links) {
        if ((each.from.value == a && each.to.value == b) || (each.from.value == b && each.to.value == a)) {
            return each.megabytes_per_second;
        }
    }
    return link{}.megabytes_per_second;
}

// The least capacity over all cuts of the network, which split its nodes into two sides. In each data centre
// an inner layer boundary has two nodes, one where activations arrive and one from which they depart.
double min_cut_by_enumeration(const declarations& declared, std::size_t data_centres)
{
    const auto departure = [&](std::size_t boundary, std::size_t where) {
        return boundary * 2 * data_centres + where;
    };
    const auto arrival = [&](std::size_t boundary, std::size_t where) {
        return (boundary * 2 - 1) * data_centres + where;
    };
    const std::size_t node_count = 2 * layer_total * data_centres;
    double least = unlimited;
    for (std::uint32_t side = 0; side < (1U << node_count); ++side) {
        const auto cut = [&](std::size_t from, std::size_t to) {
            return (side >> from & 1U) != 0 && (side >> to & 1U) == 0;
        };
        double capacity = 0;
        for (std::size_t where = 0; where < data_centres; ++where) {
            capacity += (side >> departure(0, where) & 1U) != 0 ? 0 : unlimited;
            capacity += (side >> arrival(layer_total, where) & 1U) != 0 ? unlimited : 0;
        }
        for (const auto& [id, each] : declared.targets) {
            const auto where = static_cast<std::size_t>(each.data_centre.value[0] - 'a');
            const auto begin = static_cast<std::size_t>(each.engine->layers.begin.value);
            const auto end = static_cast<std::size_t>(each.engine->layers.end.value);
            capacity +=
                cut(departure(begin, where), arrival(end, where)) ? each.engine->tokens_per_second : 0;
        }
        for (std::size_t boundary = 1; boundary < layer_total; ++boundary) {
            for (std::size_t from = 0; from < data_centres; ++from) {
                for (std::size_t to = 0; to < data_centres; ++to) {
                    const double rate = from == to ? unlimited : link_rate(declared, from, to);
                    capacity += cut(arrival(boundary, from), departure(boundary, to)) ? rate : 0;
                }
            }
        }
        least = std::min(least, capacity);
    }
    return least;
}

declarations random_declarations(std::mt19937& random, std::size_t data_centres)
{
    declarations declared = empty_model();
    std::uniform_int_distribution<int> rate(1, 50);
    const auto engines = std::uniform_int_distribution<int>(2, 12)(random);
    for (int i = 0; i < engines; ++i) {
        const auto begin = std::uniform_int_distribution<std::int64_t>(0, layer_total - 1)(random);
        const auto end = std::uniform_int_distribution<std::int64_t>(begin + 1, layer_total)(random);
        const auto where = std::uniform_int_distribution<std::size_t>(0, data_centres - 1)(random);
        add_engine(declared, "engine" + std::to_string(i), std::string(1, static_cast<char>('a' + where)),
                   begin, end, rate(random));
    }
    for (std::size_t from = 0; from < data_centres; ++from) {
        for (std::size_t to = from + 1; to < data_centres; ++to) {
            // The bandwidths of links differ by a factor of 100.
            const bool slow = std::bernoulli_distribution(0.5)(random);
            add_link(declared, std::string(1, static_cast<char>('a' + from)),
                     std::string(1, static_cast<char>('a' + to)), slow ? 1 : 100);
        }
    }
    return declared;
}

double sum_of(const std::vector<bottleneck>& cut)
{
    double sum = 0;
    for (const bottleneck& limit : cut) {
        sum += limit.tokens_per_second;
    }
    return sum;
}

} // namespace

TEST_CASE("the bound equals the minimum cut of an exhaustive search on random graphs")
{
    std::mt19937 random(6);
    for (int round = 0; round < 60; ++round) {
        const std::size_t data_centres = 1 + static_cast<std::size_t>(round) % 3;
        const declarations declared = random_declarations(random, data_centres);
        const throughput_bound bound = find_throughput_bound(declared, model_id("assistant"));
        CAPTURE(round);
        CHECK(bound.tokens_per_second ==
              doctest::Approx(min_cut_by_enumeration(declared, data_centres)).epsilon(1e-6));
        CHECK(sum_of(bound.cut) == doctest::Approx(bound.tokens_per_second).epsilon(1e-6));
    }
}

TEST_CASE("the slowest stage limits a pipeline in one data centre")
{
    declarations declared = empty_model();
    add_engine(declared, "first", "a", 0, 1, 100);
    add_engine(declared, "second", "a", 1, 2, 30);
    add_engine(declared, "third", "a", 2, 3, 100);
    const throughput_bound bound = find_throughput_bound(declared, model_id("assistant"));
    CHECK(bound.tokens_per_second == doctest::Approx(30));
    REQUIRE(bound.cut.size() == 1);
    CHECK(bound.cut[0].layers == layer_range{layer_index{1}, layer_index{2}});
    CHECK(bound.cut[0].targets == 1);
}

TEST_CASE("a slow link limits a pipeline over two data centres")
{
    declarations declared = empty_model();
    add_engine(declared, "first", "a", 0, 1, 100);
    add_engine(declared, "rest", "b", 1, 3, 100);
    add_link(declared, "a", "b", 7);
    const throughput_bound bound = find_throughput_bound(declared, model_id("assistant"));
    CHECK(bound.tokens_per_second == doctest::Approx(7));
    REQUIRE(bound.cut.size() == 1);
    CHECK(bound.cut[0].targets == 0);
    CHECK(bound.cut[0].layers.begin == layer_index{1});
}

TEST_CASE("overlapping ranges add to the bound only if they join at a layer boundary")
{
    declarations declared = empty_model();
    add_engine(declared, "whole", "a", 0, 3, 10);
    add_engine(declared, "front", "a", 0, 2, 40);
    add_engine(declared, "back", "a", 2, 3, 25);
    // Overlaps both of the others and ends where nothing begins.
    add_engine(declared, "middle", "a", 1, 2, 500);
    CHECK(find_throughput_bound(declared, model_id("assistant")).tokens_per_second == doctest::Approx(35));
}

TEST_CASE("lost and draining targets don't add to the bound")
{
    declarations declared = empty_model();
    add_engine(declared, "one", "a", 0, 3, 10);
    add_engine(declared, "two", "a", 0, 3, 20);
    add_engine(declared, "three", "a", 0, 3, 40);
    declared.draining.insert(target_id("two"));
    CHECK(find_throughput_bound(declared, model_id("assistant"), {target_id("three")}).tokens_per_second ==
          doctest::Approx(10));
    CHECK(find_throughput_bound(declared, model_id("other")).tokens_per_second == 0);
}

} // namespace dandelionstep
