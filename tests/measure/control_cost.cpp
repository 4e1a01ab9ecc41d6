// Measures what membership and configuration cost a daemon in groups of three sizes, and the slopes.
#include "measure/daemon_group.hpp"

#include "adapters/event_loop.hpp"
#include "support/cluster.hpp"

#include <algorithm>
#include <array>
#include <iostream>
#include <thread>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr milliseconds start_limit{60'000};
constexpr milliseconds settling{12'000};
constexpr milliseconds window{15'000};
// One change in 5.4 s is the plan's rate.
constexpr milliseconds change_interval{5400};
constexpr std::size_t records_per_change = 1000;
constexpr std::size_t records = 10'000;
constexpr double planned_daemons = 420;
// What a message costs on the wire beside its own bytes: HTTP/2 frames and headers, TLS records, TCP and IP.
constexpr std::int64_t wire_overhead_bytes = 350;

struct group_size {
    std::size_t daemons;
    std::size_t data_centres;
};

struct cost {
    double cpu_pct = 0;
    double rss_mb = 0;
    double kb_s = 0;
};

struct reading {
    time_point at;
    milliseconds processor;
    std::int64_t wire_bytes = 0;
};

reading read(const daemon_group& group, std::size_t daemon)
{
    const json said = group.status(daemon);
    return {event_loop::now(), group.processor_time(daemon),
            integer_or(said, "group_bytes_sent", 0) + integer_or(said, "group_bytes_received", 0) +
                integer_or(said, "group_messages", 0) * wire_overhead_bytes};
}

cost between(const reading& first, const reading& second, byte_count resident)
{
    const auto elapsed_ms = static_cast<double>((second.at - first.at).count);
    constexpr double bytes_per_mb = 1024.0 * 1024.0;
    return {100.0 * static_cast<double>((second.processor - first.processor).count) / elapsed_ms,
            static_cast<double>(resident.value) / bytes_per_mb,
            static_cast<double>(second.wire_bytes - first.wire_bytes) / elapsed_ms};
}

void declare_targets(const daemon_group& group)
{
    for (std::size_t first = 0; first < records; first += records_per_change) {
        json change = json::array();
        for (std::size_t i = first; i < first + records_per_change; ++i) {
            change.push_back(target_record(i));
        }
        eventually([&] { return group.apply(0, change) > 0; }, start_limit);
    }
}

void print(const char* what, const group_size& size, const cost& each)
{
    std::cout << what << " daemons=" << size.daemons << " data_centres=" << size.data_centres
              << " cpu_pct=" << each.cpu_pct << " rss_mb=" << each.rss_mb << " kb_s=" << each.kb_s
              << std::endl;
}

cost measure(const group_size& size)
{
    const daemon_group group(size.daemons, size.data_centres);
    declare_targets(group);
    if (!group.await_whole(records / records_per_change, start_limit)) {
        std::cerr << "the daemons did not become ready\n";
        std::exit(1);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(settling.count));
    std::vector<reading> before;
    for (std::size_t i = 0; i < size.daemons; ++i) {
        before.push_back(read(group, i));
    }
    const time_point end = event_loop::now() + window;
    for (std::size_t i = 0; event_loop::now() < end; ++i) {
        json changed = target_record(i);
        changed["step_ms"] = 7;
        static_cast<void>(group.apply(i % size.daemons, json::array({changed})));
        const milliseconds left = end - event_loop::now();
        std::this_thread::sleep_for(
            std::chrono::milliseconds(std::clamp<std::int64_t>(left.count, 0, change_interval.count)));
    }
    cost mean;
    cost highest;
    for (std::size_t i = 0; i < size.daemons; ++i) {
        const cost each = between(before[i], read(group, i), group.resident(i));
        mean.cpu_pct += each.cpu_pct / double(size.daemons);
        mean.rss_mb += each.rss_mb / double(size.daemons);
        mean.kb_s += each.kb_s / double(size.daemons);
        highest = {std::max(highest.cpu_pct, each.cpu_pct), std::max(highest.rss_mb, each.rss_mb),
                   std::max(highest.kb_s, each.kb_s)};
    }
    print("mean", size, mean);
    print("highest", size, highest);
    return highest;
}

// The line of least squares through the three sizes, at the planned one.
double planned(const std::array<group_size, 3>& sizes, const std::array<cost, 3>& costs, double cost::*what,
               const char* name)
{
    double mean_x = 0;
    double mean_y = 0;
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        mean_x += double(sizes[i].daemons) / 3;
        mean_y += costs[i].*what / 3;
    }
    double covariance = 0;
    double variance = 0;
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        covariance += (double(sizes[i].daemons) - mean_x) * (costs[i].*what - mean_y);
        variance += (double(sizes[i].daemons) - mean_x) * (double(sizes[i].daemons) - mean_x);
    }
    const double slope = covariance / variance;
    std::cout << "slope " << name << "_per_daemon=" << slope << std::endl;
    return mean_y + slope * (planned_daemons - mean_x);
}

} // namespace

int main()
{
    // As many data centres as planned, so that the slopes are those of the number of daemons.
    constexpr std::array<group_size, 3> sizes{group_size{22, 11}, group_size{44, 11}, group_size{88, 11}};
    std::array<cost, 3> costs{};
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        costs[i] = measure(sizes[i]);
    }
    const double cpu = planned(sizes, costs, &cost::cpu_pct, "cpu_pct");
    const double rss = planned(sizes, costs, &cost::rss_mb, "rss_mb");
    const double kb = planned(sizes, costs, &cost::kb_s, "kb_s");
    std::cout << "control daemons=420 cpu_pct=" << cpu << " rss_mb=" << rss << " kb_s=" << kb << std::endl;
    return 0;
}
