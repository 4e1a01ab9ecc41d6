#include "entry/path_choice.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

path_candidate candidate_of(const entry_context& context, const engine_profile& profile,
                            const registered_target& target)
{
    path_candidate candidate;
    candidate.target = &target;
    const auto found = context.conditions.find(target.id);
    if (found == context.conditions.end()) {
        return candidate;
    }
    // The requests of the data centre's daemons run on the same engines; each knows only its own.
    const auto sharers =
        static_cast<double>(context.siblings) * present_pressure(found->second, event_loop::now());
    candidate.running = static_cast<double>(found->second.in_flight) * sharers;
    const auto slots = static_cast<double>(std::max<std::int64_t>(1, target.slots));
    candidate.entry_used = static_cast<double>(found->second.entered) * sharers / slots;
    const auto kind = profile.kinds.find(target.kind);
    if (kind != profile.kinds.end()) {
        const double room = token_room(profile, kind->second, target.layers.size()) *
                            static_cast<double>(target.layers.size());
        candidate.memory_used = room > 0 ? found->second.token_layers * sharers / room : 1;
    }
    return candidate;
}

} // namespace

chosen_path choose_path(entry_context& context, const entry_service& service, std::int64_t from_layer,
                        const hop* previous, const std::set<target_id>& excluded)
{
    const time_point now = event_loop::now();
    std::vector<path_candidate> candidates;
    for (const auto& [id, target] : context.targets) {
        if (target.service != service.id || target.leaving || target.layers.empty() ||
            excluded.contains(id)) {
            continue;
        }
        const auto condition = context.conditions.find(id);
        if (condition != context.conditions.end() && !is_usable(condition->second, now)) {
            continue;
        }
        candidates.push_back(candidate_of(context, *service.engine, target));
    }
    path_query query;
    query.profile = &*service.engine;
    query.from_layer = from_layer;
    query.entry = context.settings.data_centre;
    if (previous != nullptr) {
        const auto found = context.targets.find(previous->id);
        query.previous = found == context.targets.end() ? nullptr : &found->second;
    }
    chosen_path chosen;
    for (const path_part& part : find_layer_path(query, candidates)) {
        chosen.hops.push_back({part.target->id, part.target->address, part.layers});
    }
    return chosen;
}

void occupy_path(entry_context& context, const std::vector<hop>& hops, std::int64_t tokens)
{
    for (const hop& part : hops) {
        target_condition& condition = context.conditions[part.id];
        ++condition.in_flight;
        condition.entered += &part == &hops.front() ? 1 : 0;
        condition.token_layers += static_cast<double>(tokens * part.layers.size());
    }
}

void release_path(entry_context& context, const std::vector<hop>& hops, std::int64_t tokens)
{
    for (const hop& part : hops) {
        const auto found = context.conditions.find(part.id);
        if (found == context.conditions.end()) {
            continue;
        }
        found->second.in_flight = std::max<std::int64_t>(0, found->second.in_flight - 1);
        const std::int64_t entered = &part == &hops.front() ? 1 : 0;
        found->second.entered = std::max<std::int64_t>(0, found->second.entered - entered);
        found->second.token_layers =
            std::max(0.0, found->second.token_layers - static_cast<double>(tokens * part.layers.size()));
    }
}

} // namespace dandelionstep
