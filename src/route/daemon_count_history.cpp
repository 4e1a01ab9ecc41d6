#include "route/daemon_count_history.hpp"

#include <algorithm>

namespace dandelionstep {

void note_sharers(sharer_count& sharers, std::int64_t count, time_point now, milliseconds window)
{
    std::vector<sharer_count::known>& numbers = sharers.numbers;
    std::erase_if(numbers, [&](const auto& one) { return one.until <= now || one.count <= count; });
    if (!numbers.empty()) {
        numbers.back().until = std::min(numbers.back().until, now + window);
    }
    numbers.push_back({count, never});
}

std::int64_t most_sharers(const sharer_count& sharers, time_point now)
{
    const auto largest =
        std::ranges::find_if(sharers.numbers, [now](const auto& one) { return one.until > now; });
    return largest == sharers.numbers.end() ? 0 : largest->count;
}

} // namespace dandelionstep
