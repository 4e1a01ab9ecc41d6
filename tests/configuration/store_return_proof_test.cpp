// Guards against an overload of the table by configuration reads, which can come about when it recovers after
// an outage or when 420 daemons start at the same time, and all of them read together.
#include "configuration/poll_schedule.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <random>
#include <vector>

using namespace dandelionstep;

namespace {

constexpr int data_centres = 11;
constexpr int daemons_per_data_centre = 38;
// The table serves about 2,000 reads per second; configuration may use a tenth of them.
constexpr int reads_allowed = 200;
// A poll reads the counter and, if its revision is newer, the log.
constexpr int reads_per_poll = 2;

// The number of polls in the busiest second after an outage that began at time 0.
int busiest_second(std::uint64_t seed, milliseconds outage)
{
    std::mt19937_64 random(seed);
    std::map<std::int64_t, int> polls;
    for (int daemon = 0; daemon < data_centres * daemons_per_data_centre; ++daemon) {
        poll_schedule schedule;
        schedule.poller = daemon % daemons_per_data_centre < pollers_per_data_centre;
        milliseconds at = next_poll(schedule, random());
        while (at < outage + milliseconds{120'000}) {
            schedule.consecutive_failures = at < outage ? schedule.consecutive_failures + 1 : 0;
            if (at >= outage) {
                ++polls[at.count / 1000];
            }
            at = at + next_poll(schedule, random());
        }
    }
    int most = 0;
    for (const auto& [second, count] : polls) {
        most = std::max(most, count);
    }
    return most;
}

} // namespace

TEST_CASE("the table gets few reads when it recovers, after short and long outages")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        for (const milliseconds outage :
             {milliseconds{5'000}, milliseconds{60'000}, milliseconds{3'600'000}}) {
            CAPTURE(seed);
            CAPTURE(outage.count);
            CHECK(busiest_second(seed, outage) * reads_per_poll < reads_allowed);
        }
    }
}

TEST_CASE("a poller reads a recovered table within the time in which changes must be in force")
{
    constexpr milliseconds in_force_within{20'000};
    poll_schedule schedule;
    for (schedule.consecutive_failures = 0; schedule.consecutive_failures < 100;
         ++schedule.consecutive_failures) {
        for (std::uint64_t random = 0; random < 20'000; random += 97) {
            CHECK(next_poll(schedule, random) < in_force_within);
        }
    }
}
