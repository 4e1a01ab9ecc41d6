#include "vm/successor_list.hpp"

#include <algorithm>
#include <cstddef>

namespace dandelionstep {
namespace {

constexpr std::size_t max_successors = 4;
// After the line is sorted, some followers know the old order until they have asked again.
constexpr milliseconds rank_interval{5'000};

// Those in line keep their order among daemons of the same capacity: at each change, followers that know the
// old order and those that know the new one disagree on the next reader.
void sort_by_capacity(std::vector<successor_candidate>& candidates, const std::vector<peer>& line)
{
    const auto place = [&line](const successor_candidate& one) {
        return std::ranges::find(line, one.daemon) - line.begin();
    };
    std::ranges::sort(candidates, [&place](const successor_candidate& a, const successor_candidate& b) {
        if (a.capacity != b.capacity) {
            return a.capacity > b.capacity;
        }
        return place(a) != place(b) ? place(a) < place(b) : a.daemon.vm < b.daemon.vm;
    });
}

} // namespace

void update_successors(successor_list& successors, std::vector<successor_candidate> candidates,
                       time_point now)
{
    sort_by_capacity(candidates, successors.line);
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
