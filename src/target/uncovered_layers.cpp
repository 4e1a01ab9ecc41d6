#include "target/uncovered_layers.hpp"

#include <algorithm>
#include <vector>

namespace dandelionstep {
namespace {

//! The number of usable engines of the service that hold each layer.
std::vector<std::int64_t> holders_by_layer(const target_registry& registry,
                                           const target_conditions& conditions, const service_id& service,
                                           std::int64_t layers, time_point now)
{
    std::vector<std::int64_t> holders(static_cast<std::size_t>(std::max<std::int64_t>(0, layers)), 0);
    for (const auto& [id, engine] : registry) {
        if (engine.service != service || engine.leaving || !is_usable(condition_of(conditions, id), now)) {
            continue;
        }
        const std::int64_t end = std::min(engine.layers.end, layers);
        for (std::int64_t layer = std::max<std::int64_t>(0, engine.layers.begin); layer < end; ++layer) {
            ++holders[static_cast<std::size_t>(layer)];
        }
    }
    return holders;
}

} // namespace

std::int64_t uncovered_layers(const target_registry& registry, const target_conditions& conditions,
                              const service_id& service, std::int64_t layers, time_point now)
{
    return std::ranges::count(holders_by_layer(registry, conditions, service, layers, now), 0);
}

std::int64_t least_holders(const target_registry& registry, const target_conditions& conditions,
                           const service_id& service, std::int64_t layers, time_point now)
{
    if (layers > 0) {
        return std::ranges::min(holders_by_layer(registry, conditions, service, layers, now));
    }
    return std::ranges::count_if(registry, [&](const auto& entry) {
        const registered_target& target = entry.second;
        return target.service == service && !target.leaving &&
               is_usable(condition_of(conditions, entry.first), now);
    });
}

} // namespace dandelionstep
