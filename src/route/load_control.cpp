#include "route/load_control.hpp"

#include <algorithm>
#include <set>

namespace dandelionstep {
namespace {

// Between accelerators that differ by less, a count of requests is a fair measure of load.
constexpr double wide_speed_ratio = 8;

bool has_uneven_speeds(const engine_profile& profile)
{
    if (profile.kinds.empty()) {
        return false;
    }
    const auto by_step = [](const auto& entry) { return entry.second.step_factor; };
    const auto [fastest, slowest] = std::ranges::minmax_element(profile.kinds, {}, by_step);
    return fastest->second.step_factor > 0 &&
           slowest->second.step_factor >= wide_speed_ratio * fastest->second.step_factor;
}

// The priorities of the streaming routes that lead to each service.
std::map<service_id, std::set<int>> stream_priorities(const entry_config& config)
{
    std::map<service_id, std::set<int>> found;
    for (const auto& [host, prefixes] : config.routes) {
        for (const auto& [prefix, route] : prefixes) {
            if (route.kind != route_kind::stream) {
                continue;
            }
            for (const weighted_service& target : route.services) {
                found[target.service].insert(route.priority);
            }
        }
    }
    return found;
}

} // namespace

std::optional<load_control_mode> parse_load_control_mode(std::string_view name)
{
    if (name == "auto") {
        return load_control_mode::automatic;
    }
    if (name == "on") {
        return load_control_mode::on;
    }
    if (name == "off") {
        return load_control_mode::off;
    }
    return std::nullopt;
}

bool needs_load_control(const entry_config& config)
{
    const std::map<service_id, std::set<int>> priorities = stream_priorities(config);
    return std::ranges::any_of(config.services, [&priorities](const auto& entry) {
        const entry_service& service = entry.second;
        if (!service.engine) {
            return false;
        }
        const auto found = priorities.find(service.id);
        const bool compete = found != priorities.end() && found->second.size() > 1;
        return compete || has_uneven_speeds(*service.engine);
    });
}

} // namespace dandelionstep
