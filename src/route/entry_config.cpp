#include "route/entry_config.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

std::string without_port(const std::string& host)
{
    return host.substr(0, host.find(':'));
}

} // namespace

const entry_route* find_route(const entry_config& config, const std::string& host, const std::string& target)
{
    const auto by_host = config.routes.find(without_port(host));
    if (by_host == config.routes.end()) {
        return nullptr;
    }
    std::string path = target.substr(0, target.find('?'));
    // Prefixes end with a slash, so that only the path's own slashes can end a match.
    while (true) {
        const std::size_t slash = path.rfind('/');
        if (slash == std::string::npos) {
            return nullptr;
        }
        path.resize(slash + 1);
        const auto found = by_host->second.find(path);
        if (found != by_host->second.end()) {
            return &found->second;
        }
        path.resize(slash);
    }
}

const service_id* pick_service(const entry_route& route, double draw)
{
    double total = 0;
    for (const weighted_service& candidate : route.services) {
        total += candidate.weight;
    }
    if (total <= 0) {
        return nullptr;
    }
    double left = draw * total;
    const service_id* last = nullptr;
    for (const weighted_service& candidate : route.services) {
        if (candidate.weight <= 0) {
            continue;
        }
        last = &candidate.service;
        left -= candidate.weight;
        if (left < 0) {
            break;
        }
    }
    return last;
}

const accelerator_kind* find_kind(const engine_profile& profile, const std::string& name)
{
    const auto found = profile.kinds.find(name);
    return found == profile.kinds.end() ? nullptr : &found->second;
}

caller_bounds larger_of(const caller_bounds& a, const caller_bounds& b)
{
    return {.max_header_bytes = std::max(a.max_header_bytes, b.max_header_bytes),
            .max_body_bytes = std::max(a.max_body_bytes, b.max_body_bytes),
            .header_timeout = std::max(a.header_timeout, b.header_timeout),
            .idle_timeout = std::max(a.idle_timeout, b.idle_timeout),
            .are_preliminary = a.are_preliminary && b.are_preliminary};
}

} // namespace dandelionstep
