#include "target/uncovered_layers.hpp"

#include <algorithm>
#include <vector>

namespace dandelionstep {

std::int64_t uncovered_layers(const target_registry& registry, const target_conditions& conditions,
                              const service_id& service, std::int64_t layers, time_point now)
{
    std::vector<bool> covered(static_cast<std::size_t>(std::max<std::int64_t>(0, layers)), false);
    for (const auto& [id, engine] : registry) {
        if (engine.service != service || engine.leaving || !is_usable(condition_of(conditions, id), now)) {
            continue;
        }
        const std::int64_t end = std::min(engine.layers.end, layers);
        for (std::int64_t layer = std::max<std::int64_t>(0, engine.layers.begin); layer < end; ++layer) {
            covered[static_cast<std::size_t>(layer)] = true;
        }
    }
    return std::ranges::count(covered, false);
}

} // namespace dandelionstep
