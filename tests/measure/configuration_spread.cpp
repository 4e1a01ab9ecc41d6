// Measures the time from a change's acceptance to its being in force on every daemon, and the table's reads.
#include "measure/daemon_group.hpp"

#include "adapters/event_loop.hpp"
#include "support/cluster.hpp"

#include <algorithm>
#include <iostream>
#include <map>
#include <sstream>
#include <thread>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

constexpr std::size_t data_centres = 3;
constexpr milliseconds start_limit{60'000};
// 16,000 changes a day are one in 5.4 s; this is eleven times as fast.
constexpr milliseconds change_interval{500};
constexpr std::int64_t planned_changes_a_day = 16'000;
constexpr double seconds_a_day = 86'400;
constexpr std::size_t planned_daemons = 420;
constexpr std::size_t planned_data_centres = 11;

struct spread_result {
    std::vector<std::int64_t> latencies_ms;
    std::int64_t reverted = 0;
    std::int64_t missing = 0;
    double reads_a_second_idle = 0;
    double reads_a_change = 0;
};

std::int64_t field(const std::string& line, const std::string& name)
{
    const std::size_t at = line.find(name + "=");
    return at == std::string::npos ? -1 : std::strtoll(line.c_str() + at + name.size() + 1, nullptr, 10);
}

// Reads when each revision was applied, and counts revisions that went down.
std::map<std::int64_t, std::int64_t> applied_at(const std::string& log, std::int64_t& reverted)
{
    std::map<std::int64_t, std::int64_t> when;
    std::int64_t highest = -1;
    std::istringstream lines(log);
    for (std::string line; std::getline(lines, line);) {
        if (line.find("event=configuration_applied") == std::string::npos) {
            continue;
        }
        const std::int64_t revision = field(line, "revision");
        reverted += revision < highest ? 1 : 0;
        // A snapshot puts all revisions up to its own in force.
        for (std::int64_t each = highest + 1; each <= revision; ++each) {
            when[each] = field(line, "ts_ms");
        }
        highest = std::max(highest, revision);
    }
    return when;
}

double idle_reads(const daemon_group& group, milliseconds duration)
{
    const std::int64_t before = group.store_reads();
    std::this_thread::sleep_for(std::chrono::milliseconds(duration.count));
    return static_cast<double>(group.store_reads() - before) * 1000.0 / static_cast<double>(duration.count);
}

spread_result measure(std::size_t daemons, milliseconds duration)
{
    const daemon_group group(daemons, data_centres);
    if (!eventually([&] { return group.apply(0, json::array({target_record(0)})) > 0; }, start_limit) ||
        !group.await_whole(1, start_limit)) {
        std::cerr << "the daemons did not become ready\n";
        std::exit(1);
    }
    spread_result result;
    result.reads_a_second_idle = idle_reads(group, duration);
    std::map<std::int64_t, std::int64_t> accepted_at;
    const std::int64_t reads_before = group.store_reads();
    const time_point began = event_loop::now();
    for (std::size_t i = 0; event_loop::now() - began < duration; ++i) {
        json record = target_record(i % 10);
        record["step_ms"] = 1 + i;
        if (const std::int64_t revision = group.apply(i % daemons, json::array({record})); revision > 0) {
            accepted_at[revision] = event_loop::wall_now().count;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(change_interval.count));
    }
    const double seconds = static_cast<double>((event_loop::now() - began).count) / 1000.0;
    const auto changing_reads = static_cast<double>(group.store_reads() - reads_before);
    result.reads_a_change = std::max(0.0, changing_reads - result.reads_a_second_idle * seconds) /
                            static_cast<double>(std::max<std::size_t>(accepted_at.size(), 1));
    std::this_thread::sleep_for(std::chrono::seconds(6));
    std::map<std::int64_t, std::int64_t> everywhere;
    for (std::size_t i = 0; i < daemons; ++i) {
        const auto when = applied_at(group.log_of(i), result.reverted);
        for (const auto& [revision, accepted] : accepted_at) {
            const auto found = when.find(revision);
            result.missing += found == when.end() ? 1 : 0;
            if (found != when.end()) {
                everywhere[revision] = std::max(everywhere[revision], found->second - accepted);
            }
        }
    }
    for (const auto& [revision, latency] : everywhere) {
        result.latencies_ms.push_back(std::max<std::int64_t>(latency, 0));
    }
    std::ranges::sort(result.latencies_ms);
    return result;
}

std::int64_t percentile(const std::vector<std::int64_t>& sorted, double share)
{
    const auto at = static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
    return sorted.empty() ? -1 : sorted[std::min(at, sorted.size() - 1)];
}

void print(std::size_t daemons, const spread_result& result)
{
    std::cout << "daemons=" << daemons << " changes=" << result.latencies_ms.size()
              << " p50_ms=" << percentile(result.latencies_ms, 0.5)
              << " p99_ms=" << percentile(result.latencies_ms, 0.99)
              << " max_ms=" << percentile(result.latencies_ms, 1.0) << " reverted=" << result.reverted
              << " missing=" << result.missing << " store_reads_s=" << result.reads_a_second_idle
              << " store_reads_a_change=" << result.reads_a_change << std::endl;
}

} // namespace

int main()
{
    constexpr std::size_t small = 9;
    constexpr std::size_t large = 60;
    constexpr milliseconds duration{30'000};
    const spread_result few = measure(small, duration);
    print(small, few);
    const spread_result many = measure(large, duration);
    print(large, many);
    // Reads are a share of each data centre, which has its own pollers, and a share of each daemon.
    const double per_daemon =
        std::max(0.0, (many.reads_a_second_idle - few.reads_a_second_idle) / double(large - small));
    const double per_data_centre =
        std::max(0.0, few.reads_a_second_idle - per_daemon * double(small)) / double(data_centres);
    const double per_change = many.reads_a_change * double(planned_data_centres) / double(data_centres);
    const double planned = per_daemon * double(planned_daemons) +
                           per_data_centre * double(planned_data_centres) +
                           per_change * double(planned_changes_a_day) / seconds_a_day;
    std::cout << "config daemons=" << large << " p50_ms=" << percentile(many.latencies_ms, 0.5)
              << " p99_ms=" << percentile(many.latencies_ms, 0.99)
              << " reverted=" << few.reverted + many.reverted << " store_reads_s_at_420=" << planned
              << std::endl;
    return few.missing + many.missing + few.reverted + many.reverted == 0 ? 0 : 1;
}
