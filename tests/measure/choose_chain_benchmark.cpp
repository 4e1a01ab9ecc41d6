// Time of one choice of chain at several numbers of replicas.
#include "common/hash.hpp"
#include "route/choose_chain.hpp"
#include "support/pipeline_simulation.hpp"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <string>
#include <vector>

namespace {

using namespace dandelionstep;
using clock_type = std::chrono::steady_clock;

constexpr int choices = 4000;
constexpr int stages = 3;

double microseconds_since(clock_type::time_point start)
{
    return std::chrono::duration<double, std::micro>(clock_type::now() - start).count();
}

declarations spread_over(int replicas, int data_centres)
{
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(data_centres));
    for (int i = 0; i < data_centres; ++i) {
        names.push_back("data-centre-" + std::to_string(i));
    }
    return testing::mixed_pipeline(names, std::max(1, replicas / data_centres / stages));
}

void measure(int replicas, int data_centres, chain_policy policy, const std::string& name)
{
    const declarations declared = spread_over(replicas, data_centres);
    const auto build_start = clock_type::now();
    const route_index index = build_route_index(declared);
    const double build_us = microseconds_since(build_start);
    health_map health;
    for (const auto& [id, each] : declared.targets) {
        health[id].reported_load = static_cast<std::int64_t>(hash_of(id.value) % 20);
    }
    std::vector<double> times;
    for (int i = 0; i < choices; ++i) {
        chain_query query;
        query.model = model_id("assistant");
        query.from = data_centre_id("data-centre-0");
        query.seed = hash_of("request", static_cast<std::uint64_t>(i));
        query.prefix_hash = hash_of("prefix", static_cast<std::uint64_t>(i % 100));
        query.prompt_tokens = {500};
        query.policy = policy;
        const auto start = clock_type::now();
        const auto chosen = choose_chain(index, health, query, time_point{0});
        times.push_back(microseconds_since(start));
        if (!chosen.ok()) {
            std::cerr << chosen.status().message() << "\n";
            std::exit(1);
        }
    }
    std::ranges::sort(times);
    std::cout << "choose_chain policy=" << name << " replicas=" << declared.targets.size()
              << " data_centres=" << data_centres << " median_us=" << times[times.size() / 2]
              << " p99_us=" << times[times.size() * 99 / 100] << " build_index_us=" << build_us << "\n";
}

} // namespace

int main()
{
    for (const auto& [replicas, data_centres] :
         {std::pair{30, 3}, std::pair{1000, 11}, std::pair{10'000, 11}}) {
        measure(replicas, data_centres, chain_policy::least_cost, "least_cost");
        measure(replicas, data_centres, chain_policy::least_reported, "least_reported");
    }
    return 0;
}
