#pragma once

#include "adapters/periodic_watch.hpp"
#include "entry/engines/engine_probes.hpp"
#include "entry/suspects/crash_guard.hpp"

namespace dandelionstep {

//! What all requests of a daemon use together.
struct request_tools {
    // How often silences are judged; an engine that died is to be found within a gap objective.
    static constexpr milliseconds watch_interval{20};

    engine_probes probes;
    periodic_watch watch;
    crash_guard guard;

    explicit request_tools(entry_context& context)
        : probes(context), watch(context.loop, watch_interval), guard(context)
    {}
};

} // namespace dandelionstep
