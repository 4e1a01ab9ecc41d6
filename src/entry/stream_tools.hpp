#pragma once

#include "entry/engine_probes.hpp"
#include "entry/periodic_watch.hpp"

namespace dandelionstep {

//! What all streams of a daemon use together.
struct stream_tools {
    // How often silences are judged; an engine that died is to be found within a gap objective.
    static constexpr milliseconds watch_interval{20};

    engine_probes probes;
    periodic_watch watch;

    explicit stream_tools(entry_context& context) : probes(context), watch(context.loop, watch_interval) {}
};

} // namespace dandelionstep
