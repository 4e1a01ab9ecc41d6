#include "adapters/periodic_watch.hpp"

#include <iterator>

namespace dandelionstep {

void periodic_watch::add(watcher added_one)
{
    this->added.push_back(std::move(added_one));
    if (!this->running) {
        this->running = true;
        this->timer = this->loop.run_every(this->interval, [this] { this->call_all(); });
    }
}

void periodic_watch::call_all()
{
    std::ranges::move(this->added, std::back_inserter(this->watchers));
    this->added.clear();
    const time_point now = event_loop::now();
    std::erase_if(this->watchers, [now](const watcher& one) { return !one(now); });
    if (this->watchers.empty() && this->added.empty()) {
        this->running = false;
        this->timer = {};
    }
}

} // namespace dandelionstep
