#include "route/load_control.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace dandelionstep {
namespace {

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
        return found != priorities.end() && found->second.size() > 1;
    });
}

} // namespace dandelionstep
