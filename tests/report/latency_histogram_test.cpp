#include "report/latency_histogram.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>
#include <vector>

using namespace dandelionstep;

TEST_CASE(
    "merged histograms equal one histogram of all times, and quantiles come within one bin of the exact ones")
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        std::lognormal_distribution<double> times(4, 1.5);
        std::vector<std::int64_t> all;
        latency_histogram whole;
        std::vector<latency_histogram> parts(5);
        for (int i = 0; i < 5000; ++i) {
            const auto time = std::clamp<std::int64_t>(static_cast<std::int64_t>(times(random)), 1, 100'000);
            all.push_back(time);
            whole.add({time});
            parts[random() % parts.size()].add({time});
        }
        latency_histogram merged;
        for (const latency_histogram& part : parts) {
            merged.merge(part);
        }
        CHECK(merged.count() == static_cast<std::int64_t>(all.size()));
        CHECK(merged.to_prometheus("x", "") == whole.to_prometheus("x", ""));
        std::ranges::sort(all);
        const double bin_growth =
            std::pow(latency_histogram::most_ms / latency_histogram::least_ms, 1.0 / latency_histogram::bins);
        for (const double quantile : {0.5, 0.95, 0.99}) {
            const auto exact = static_cast<double>(all[static_cast<std::size_t>(quantile * 5000) - 1]);
            CHECK(merged.quantile_ms(quantile) >= exact);
            CHECK(merged.quantile_ms(quantile) <= exact * bin_growth);
        }
    }
}

TEST_CASE("times off the axis are counted at its ends")
{
    latency_histogram histogram;
    histogram.add({0});
    histogram.add({10'000'000});
    CHECK(histogram.count() == 2);
    CHECK(histogram.count_up_to({1000}) == 1);
    CHECK(latency_histogram().quantile_ms(0.95) == 0);
}
