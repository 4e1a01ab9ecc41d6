#include "vm/successor_list.hpp"

#include <algorithm>
#include <cstddef>

namespace dandelionstep {
namespace {

constexpr std::size_t max_successors = 4;
// After the line is sorted, some followers know the old order until they have asked again.
constexpr milliseconds rank_interval{5'000};

void sort_by_capacity(std::vector<successor_candidate>& candidates)
{
    std::ranges::sort(candidates, [](const successor_candidate& a, const successor_candidate& b) {
        return a.capacity != b.capacity ? a.capacity > b.capacity : a.daemon.vm < b.daemon.vm;
    });
}

} // namespace

void update_successors(successor_list& successors, std::vector<successor_candidate> candidates,
                       time_point now)
{
    sort_by_capacity(candidates);
    if (successors.line.empty()) {
        successors.ranked_at = now;
    } else if (now - successors.ranked_at >= rank_interval) {
        successors = {{}, now};
    }
    std::vector<peer>& line = successors.line;
    std::erase_if(line, [&](const peer& one) {
        return std::ranges::find(candidates, one, &successor_candidate::daemon) == candidates.end();
    });
    for (const successor_candidate& candidate : candidates) {
        const bool is_in_line = std::ranges::find(line, candidate.daemon) != line.end();
        if (!is_in_line && line.size() < max_successors) {
            line.push_back(candidate.daemon);
        }
    }
}

} // namespace dandelionstep
