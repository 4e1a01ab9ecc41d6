#pragma once

#include "adapters/event_loop.hpp"

#include <functional>
#include <vector>

namespace dandelionstep {

//! Calls many watchers from one timer, as each wake-up of the process costs time; sleeps while there are
//! none.
class periodic_watch {
public:
    //! Returns false when it need not be called again.
    using watcher = std::function<bool(time_point now)>;

    periodic_watch(event_loop& loop, milliseconds interval) : loop(loop), interval(interval) {}

    void add(watcher added);

private:
    void call_all();

    event_loop& loop;
    milliseconds interval;
    std::vector<watcher> watchers;
    // Those that are added while the others are called.
    std::vector<watcher> added;
    event_loop::timer timer;
    bool running = false;
};

} // namespace dandelionstep
