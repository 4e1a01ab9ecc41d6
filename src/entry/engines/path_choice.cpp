#include "entry/engines/path_choice.hpp"

#include "absl/strings/str_cat.h"
#include "route/local_path.hpp"
#include "route/moving_weight.hpp"
#include "route/path_outlook.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

// Share of the gap objective that the estimate may take: batches, prompts and hops come on top of it.
constexpr double local_gap_share = 0.5;

// What others told of their use counts for so long; they tell about once a second.
constexpr milliseconds others_validity{3'000};

// What the requests of all the data centre's daemons take of an engine. Before the others told, they are
// taken to be like this one; an engine that refuses takes more than is known.
engine_use estimated_use(const entry_context& context, const target_id& id, const target_condition& own,
                         time_point now)
{
    const engine_use own_use = current_use(own, now, context.controls_load());
    const engine_use alike = scaled(own_use, static_cast<double>(context.siblings));
    engine_use use = alike;
    if (now - context.others_at < others_validity) {
        use = own_use;
        const auto others = context.others.find(id);
        if (others != context.others.end()) {
            add_use(use, others->second);
        }
        if (now < context.others_partial_until) {
            use = larger_of(use, alike);
        }
    }
    const double factor = current_load_correction(own, now);
    return scaled(use, factor);
}

path_candidate candidate_of(const entry_context& context, const engine_profile& profile,
                            const registered_target& target, const target_condition& condition,
                            time_point now)
{
    const engine_use use = estimated_use(context, target.id, condition, now);
    path_candidate candidate = candidate_with(profile, target, use, current_slowdown(condition, now));
    candidate.kv_cache_used = std::max(candidate.kv_cache_used, current_kv_cache_usage(condition, now));
    candidate.may_enter = !is_backing_off(condition, now);
    if (!is_below_slow_start_limit(condition, condition.entered)) {
        candidate.entry_slots_used = std::max(candidate.entry_slots_used, 1.0);
    }
    return candidate;
}

// Where all engines at which a path of the service may begin are in backoff, one may be tried at times.
void allow_backoff_trials(const entry_context& context, std::vector<path_candidate>& candidates,
                          time_point now)
{
    const auto is_first = [](const path_candidate& one) { return one.target->layers.begin == 0; };
    const bool can_enter = std::ranges::any_of(
        candidates, [&](const path_candidate& one) { return is_first(one) && one.may_enter; });
    for (path_candidate& one : candidates) {
        one.may_enter =
            one.may_enter || (!can_enter && is_first(one) &&
                              now >= backoff_chance(condition_of(context.conditions, one.target->id)));
    }
}

// The answer of a request of which nothing is known is taken to be as long as usual.
double answer_tokens_of(const path_wish& wish)
{
    const auto expected = static_cast<double>(wish.total_tokens - wish.prompt_tokens);
    return expected > 0 ? expected : wish.service->engine->mean_answer_tokens;
}

std::vector<path_candidate> candidates_for(entry_context& context, const path_wish& wish)
{
    const entry_service& service = *wish.service;
    const time_point now = event_loop::now();
    std::vector<path_candidate> candidates;
    for (const auto& [id, target] : context.targets) {
        if (target.service != service.id || target.leaving || target.layers.empty() ||
            wish.excluded.contains(id)) {
            continue;
        }
        const target_condition& condition = condition_of(context.conditions, id);
        if (is_usable(condition, now)) {
            candidates.push_back(candidate_of(context, *service.engine, target, condition, now));
            candidates.back().cost_factor = wish.moved_tokens > 0 ? moved_stream_cost_factor(context.draw())
                                                                  : new_request_cost_factor(context.draw());
        }
    }
    allow_backoff_trials(context, candidates, now);
    if (context.controls_load()) {
        estimate_meanwhile(candidates, answer_tokens_of(wish));
    }
    return candidates;
}

request_size size_of(const path_wish& wish)
{
    return {static_cast<double>(wish.prompt_tokens), static_cast<double>(wish.total_tokens)};
}

// A stream is in time if both the first event and each gap are, so that both count by their share of their
// objective.
double prefill_weight(const engine_profile& profile, const path_wish& wish)
{
    const double steps = std::max(1.0, profile.steps_per_event);
    return static_cast<double>(wish.gap_objective.count) /
           static_cast<double>(std::max<std::int64_t>(1, wish.latency_objective.count)) / steps;
}

std::vector<path_part> choose_parts(const entry_context& context, const path_wish& wish,
                                    const std::vector<path_candidate>& candidates)
{
    path_query query;
    query.profile = &*wish.service->engine;
    query.from_layer = wish.from_layer;
    query.to_layer = wish.to_layer;
    query.moved_tokens = static_cast<double>(wish.moved_tokens);
    query.entry = context.settings.data_centre;
    if (context.controls_load()) {
        query.prompt_tokens = static_cast<double>(wish.prompt_tokens);
        query.prefill_weight = prefill_weight(*query.profile, wish);
        query.free_kv_cache_share = controlled_free_kv_cache_share;
    }
    if (wish.previous != nullptr) {
        const auto found = context.targets.find(wish.previous->id);
        query.previous = found == context.targets.end() ? nullptr : &found->second;
    }
    local_path_limits limits;
    limits.event_gap_ms = local_gap_share * static_cast<double>(wish.gap_objective.count);
    return choose_layer_path(query, candidates, limits);
}

std::vector<hop> hops_of(const std::vector<path_part>& parts)
{
    std::vector<hop> hops;
    hops.reserve(parts.size());
    for (const path_part& part : parts) {
        hops.push_back({part.target->id, part.target->address, part.layers, part.target->started});
    }
    return hops;
}

} // namespace

std::vector<hop> choose_path(entry_context& context, const path_wish& wish)
{
    return hops_of(choose_parts(context, wish, candidates_for(context, wish)));
}

path_estimate plan_path(entry_context& context, const path_wish& wish)
{
    const std::vector<path_candidate> candidates = candidates_for(context, wish);
    const std::vector<path_part> parts = choose_parts(context, wish, candidates);
    path_estimate estimate;
    estimate.path = hops_of(parts);
    if (parts.empty()) {
        return estimate;
    }
    const path_outlook outlook = outlook_of(*wish.service->engine, parts, candidates, size_of(wish));
    estimate.use = outlook.use;
    estimate.entry_use = outlook.entry_use;
    estimate.first_event = milliseconds{static_cast<std::int64_t>(outlook.first_event_ms)};
    estimate.event_gap = milliseconds{static_cast<std::int64_t>(outlook.event_gap_ms)};
    return estimate;
}

bool is_offered(const entry_context& context, const hop& part)
{
    const auto target = context.targets.find(part.id);
    return target != context.targets.end() && !target->second.leaving &&
           target->second.layers.contains(part.layers);
}

namespace {

bool is_in_use(const entry_context& context, const hop& part)
{
    return is_offered(context, part) &&
           is_usable(condition_of(context.conditions, part.id), event_loop::now());
}

// The path with other engines for the lost one's layers alone; empty when that is not possible.
std::vector<hop> patch_path(entry_context& context, path_wish wish, const std::vector<hop>& path,
                            const target_id& lost)
{
    const auto at = std::ranges::find(path, lost, &hop::id);
    for (const hop& part : path) {
        if (part.id != lost && !is_in_use(context, part)) {
            return {};
        }
        wish.excluded.insert(part.id);
    }
    wish.from_layer = at->layers.begin;
    wish.to_layer = at->layers.end;
    wish.previous = &*(at - 1);
    const std::vector<hop> patch = choose_path(context, wish);
    if (patch.empty()) {
        return {};
    }
    std::vector<hop> patched(path.begin(), at);
    patched.insert(patched.end(), patch.begin(), patch.end());
    patched.insert(patched.end(), at + 1, path.end());
    return patched;
}

} // namespace

std::vector<hop> repair_path(entry_context& context, path_wish wish, const std::vector<hop>& path,
                             const target_id& lost)
{
    std::vector<hop> repaired = patch_path(context, wish, path, lost);
    if (!repaired.empty()) {
        return repaired;
    }
    const hop& first = path.front();
    wish.from_layer = first.layers.end;
    wish.previous = &first;
    wish.excluded.insert(first.id);
    wish.excluded.insert(lost);
    repaired = choose_path(context, wish);
    if (!repaired.empty()) {
        repaired.insert(repaired.begin(), first);
    }
    return repaired;
}

std::string path_text(const std::vector<hop>& path)
{
    std::string text;
    for (const hop& part : path) {
        absl::StrAppend(&text, text.empty() ? "" : ",", part.id.value, "=", part.layers.begin, "-",
                        part.layers.end);
    }
    return text;
}

void note_prefill(entry_context& context, const std::vector<hop>& hops, std::int64_t tokens)
{
    const time_point now = event_loop::now();
    for (const hop& part : hops) {
        note_prefill(context.conditions[part.id], static_cast<double>(tokens * part.layers.size()), now);
    }
}

namespace {

double token_layers(std::int64_t tokens, const hop& part)
{
    return static_cast<double>(tokens * part.layers.size());
}

void add_booking(target_condition& condition, const hop& part, const path_booking& booking)
{
    condition.token_layers += token_layers(booking.total_tokens, part);
    condition.remaining_tokens += static_cast<double>(booking.remaining_tokens);
}

void subtract_booking(target_condition& condition, const hop& part, const path_booking& booking)
{
    condition.token_layers = std::max(0.0, condition.token_layers - token_layers(booking.total_tokens, part));
    condition.remaining_tokens =
        std::max(0.0, condition.remaining_tokens - static_cast<double>(booking.remaining_tokens));
}

} // namespace

void occupy_path(entry_context& context, const std::vector<hop>& hops, const path_booking& booking)
{
    for (const hop& part : hops) {
        target_condition& condition = context.conditions[part.id];
        ++condition.in_flight;
        condition.entered += &part == &hops.front() ? 1 : 0;
        add_booking(condition, part, booking);
    }
}

void release_path(entry_context& context, const std::vector<hop>& hops, const path_booking& booking)
{
    for (const hop& part : hops) {
        const auto found = context.conditions.find(part.id);
        if (found == context.conditions.end()) {
            continue;
        }
        found->second.in_flight = std::max<std::int64_t>(0, found->second.in_flight - 1);
        const std::int64_t entered = &part == &hops.front() ? 1 : 0;
        found->second.entered = std::max<std::int64_t>(0, found->second.entered - entered);
        subtract_booking(found->second, part, booking);
    }
}

void rebook_path(entry_context& context, const std::vector<hop>& hops, const path_booking& before,
                 const path_booking& booking)
{
    for (const hop& part : hops) {
        const auto found = context.conditions.find(part.id);
        if (found != context.conditions.end()) {
            subtract_booking(found->second, part, before);
            add_booking(found->second, part, booking);
        }
    }
}

} // namespace dandelionstep
