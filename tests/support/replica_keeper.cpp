#include "support/replica_keeper.hpp"

#include "adapters/event_loop.hpp"

#include <algorithm>
#include <chrono>
#include <thread>

namespace dandelionstep::testing {
namespace {

constexpr milliseconds look_pause{10};

void sleep_for(milliseconds span)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(span.count));
}

} // namespace

void replica_keeper::tend()
{
    const time_point now = event_loop::now();
    for (const std::string& id : this->cluster.replica_ids()) {
        if (this->cluster.processes.at(id).running()) {
            continue;
        }
        const auto [due, is_new] = this->restart_at.try_emplace(id, now + this->restart_pause);
        if (is_new) {
            this->ended_at.push_back(now);
        } else if (now >= due->second) {
            this->cluster.start_replica(id);
            this->restart_at.erase(due);
        }
    }
}

void replica_keeper::tend_for(milliseconds span)
{
    const time_point end = event_loop::now() + span;
    while (event_loop::now() < end) {
        this->tend();
        sleep_for(look_pause);
    }
}

void replica_keeper::restore()
{
    this->tend();
    while (!this->restart_at.empty()) {
        sleep_for(look_pause);
        this->tend();
    }
}

std::int64_t replica_keeper::ends_after(time_point from) const
{
    return std::ranges::count_if(this->ended_at, [from](time_point at) { return at > from; });
}

} // namespace dandelionstep::testing
