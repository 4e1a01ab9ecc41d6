#include "daemon/drain_operations.hpp"

namespace dandelionstep {
namespace {

constexpr std::string_view path_begin = "/v1/targets/";
constexpr std::string_view path_end = "/in-flight";

json known_daemons(const daemon_context& context, const group& peers)
{
    json all = json::array();
    all.push_back(
        {{"vm", context.configured.vm.value},
         {"operators", to_string(context.configured.operators)},
         {"incarnation", context.started.value},
         {"state", std::string(to_string(context.stopping ? member_state::left : member_state::alive))}});
    for (const auto& [vm, each] : peers.members()) {
        all.push_back({{"vm", vm.value},
                       {"operators", to_string(each.operator_address)},
                       {"incarnation", each.started.value},
                       {"state", std::string(to_string(each.state))}});
    }
    return all;
}

} // namespace

bool answer_in_flight(const daemon_context& context, const group& peers, const received_request& request,
                      http_reply& reply)
{
    const std::string& path = request.path;
    if (request.method != "GET" || !path.starts_with(path_begin) || !path.ends_with(path_end) ||
        path.size() <= path_begin.size() + path_end.size()) {
        return false;
    }
    const target_id target(path.substr(path_begin.size(), path.size() - path_begin.size() - path_end.size()));
    const declarations& declared = context.configuration.declared;
    const auto found = context.health.find(target);
    const target_health health = found == context.health.end() ? target_health{} : found->second;
    // An undeclared target is chosen by nobody, but may still finish what it was given before.
    const bool gives_new_work =
        declared.targets.contains(target) && !declared.draining.contains(target) && !health.leaving;
    reply.send(200, dump({{"vm", context.configured.vm.value},
                          {"target", target.value},
                          {"revision", context.configuration.number.value},
                          {"gives_new_work", gives_new_work},
                          {"in_flight", health.in_flight},
                          {"daemons", known_daemons(context, peers)}}));
    return true;
}

} // namespace dandelionstep
