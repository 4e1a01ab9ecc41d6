#include "route/sharer_count.hpp"

#include <algorithm>

namespace dandelionstep {

void record_daemon_count(daemon_count_history& history, std::int64_t count, time_point now,
                         milliseconds window)
{
    std::vector<daemon_count_history::entry>& counts = history.counts;
    std::erase_if(counts, [&](const auto& one) { return one.until <= now || one.count <= count; });
    if (!counts.empty()) {
        counts.back().until = std::min(counts.back().until, now + window);
    }
    counts.push_back({count, never});
}

std::int64_t max_recent_daemon_count(const daemon_count_history& history, time_point now)
{
    const auto largest =
        std::ranges::find_if(history.counts, [now](const auto& one) { return one.until > now; });
    return largest == history.counts.end() ? 0 : largest->count;
}

} // namespace dandelionstep
