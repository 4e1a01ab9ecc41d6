#include "entry/streams/stream_pace.hpp"

#include <algorithm>

namespace dandelionstep {

void note_event(entry_context& context, stream_pace& pace, time_point began, std::optional<time_point> last,
                time_point now)
{
    context.heard_at = now;
    if (!last) {
        pace.first_after = now - began;
        context.metrics.first_part["stream"].add(pace.first_after);
        return;
    }
    const milliseconds gap = now - *last;
    pace.longest_gap = std::max(pace.longest_gap, gap);
    constexpr double own_weight = 0.25;
    const auto gap_ms = static_cast<double>(gap.count);
    pace.mean_gap_ms =
        pace.mean_gap_ms == 0 ? gap_ms : pace.mean_gap_ms + own_weight * (gap_ms - pace.mean_gap_ms);
    constexpr double newest_weight = 0.01;
    context.event_gap_ms += newest_weight * (gap_ms - context.event_gap_ms);
    context.metrics.event_gap.add(gap);
}

bool is_late(const stream_pace& pace, const entry_route& route)
{
    return pace.first_after > route.latency_objective || pace.longest_gap > route.gap_objective;
}

} // namespace dandelionstep
