#include "route/layer_path.hpp"

#include "target/remaining_work.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <string_view>

namespace dandelionstep {
namespace {

constexpr double unreachable = std::numeric_limits<double>::infinity();
// A hop inside a data centre: the network's delay, and the wait until the next engine starts its next step.
constexpr double same_centre_hop_ms = 0.5;
// Entry at an engine in another data centre: the network's round-trip time.
constexpr double other_centre_entry_ms = 3.0;
// A hop to another data centre uses the link that all requests share. Its cost is the time for which one
// prompt occupies the link, times this factor for the requests that wait behind it.
constexpr double link_wait_factor = 4.0;
constexpr double unknown_link_ms = 10.0;
// Above this share of its entry slots, or the query's free share of its KV cache, an engine's cost rises, so
// that requests spread to others before it preempts or refuses some. With a full KV cache it costs (1 +
// full_memory_penalty) times as much.
constexpr double usual_free_share = 0.5;
constexpr double full_memory_penalty = 8.0;
// Cost of entry at an engine whose entry slots are all in use.
constexpr double full_entry_penalty_ms = 40.0;
constexpr double mb_in_bytes = 1e6;
// An engine is assumed to spend at most this share of its time on prefill, so that decode makes some
// progress.
constexpr double max_prefill_share = 0.95;
// Engines refuse longer paths.
constexpr std::size_t max_parts = 32;

// The cheapest path over all layers up to a boundary that ends at a given engine.
struct partial_path {
    double cost = unreachable;
    // First layer that the last engine runs, and the index of the engine before it.
    std::int64_t engine_begin = 0;
    std::size_t from = SIZE_MAX;
};

std::int64_t end_of(const path_query& query)
{
    return query.to_layer > 0 ? query.to_layer : query.profile->layers;
}

std::vector<std::int64_t> boundaries_of(const path_query& query,
                                        const std::vector<path_candidate>& candidates)
{
    std::vector<std::int64_t> found = {query.from_layer, end_of(query)};
    for (const path_candidate& candidate : candidates) {
        found.push_back(candidate.target->layers.begin);
        found.push_back(candidate.target->layers.end);
    }
    std::erase_if(found,
                  [&](std::int64_t layer) { return layer < query.from_layer || layer > end_of(query); });
    std::ranges::sort(found);
    found.erase(std::unique(found.begin(), found.end()), found.end());
    return found;
}

// Time for which a prompt of mean length occupies the link between two data centres.
double link_time_ms(const engine_profile& profile)
{
    constexpr double bits_per_byte = 8;
    constexpr double mbps_to_bits_per_ms = 1000;
    if (profile.centre_link_mbps <= 0) {
        return unknown_link_ms;
    }
    return profile.mean_prompt_tokens * profile.activation_bytes * bits_per_byte /
           (profile.centre_link_mbps * mbps_to_bits_per_ms);
}

// 0 up to the free share, then rising with the square of the excess to 1 at full use.
double utilisation_penalty(double used, double free_share)
{
    const double excess = std::max(0.0, used - free_share) / (1 - free_share);
    return excess * excess;
}

// A larger free share makes no engine dearer than the usual one, also not one that is estimated to be
// overfull: the estimate may be too high for all of them.
double kv_cache_penalty(const path_query& query, double used)
{
    return std::min(utilisation_penalty(used, query.free_kv_cache_share),
                    utilisation_penalty(used, usual_free_share));
}

// Time for one token of the answer over one layer, and the request's prefill by its weight.
double new_request_time(const path_query& query, const accelerator_kind& kind,
                        const path_candidate& candidate)
{
    const double running = candidate.running_meanwhile.value_or(candidate.running);
    const double step = step_time_ms(*query.profile, kind, 1, running);
    return query.prefill_weight <= 0
               ? step
               : step + query.prefill_weight * prefill_time_ms(*query.profile, kind, 1, query.prompt_tokens);
}

double layer_cost(const path_query& query, const path_candidate& candidate)
{
    const accelerator_kind* kind = find_kind(*query.profile, candidate.target->kind);
    if (kind == nullptr) {
        return unreachable;
    }
    const double time = query.moved_tokens > 0 ? prefill_time_ms(*query.profile, *kind, 1, query.moved_tokens)
                                               : new_request_time(query, *kind, candidate);
    const double cost = time * step_time_factor(candidate) * candidate.cost_factor;
    return cost * (1 + full_memory_penalty * kv_cache_penalty(query, candidate.kv_cache_used));
}

// An engine that a path uses twice also holds all layers in between, so it runs these layers as well.
std::vector<path_part> merge_repeated_engines(std::vector<path_part> path)
{
    for (std::size_t first = 0; first < path.size(); ++first) {
        for (std::size_t last = path.size() - 1; last > first; --last) {
            if (path[first].target == path[last].target) {
                path[first].layers.end = path[last].layers.end;
                path.erase(path.begin() + static_cast<std::ptrdiff_t>(first) + 1,
                           path.begin() + static_cast<std::ptrdiff_t>(last) + 1);
                break;
            }
        }
    }
    return path;
}

class path_search {
public:
    path_search(const path_query& query_in, const std::vector<path_candidate>& candidates_in)
        : query(query_in), candidates(candidates_in), boundaries(boundaries_of(query_in, candidates_in)),
          best_paths(boundaries.size(), std::vector<partial_path>(candidates_in.size()))
    {
        for (const path_candidate& candidate : candidates_in) {
            this->costs.push_back(layer_cost(query_in, candidate));
        }
        this->other_centre_hop_ms = same_centre_hop_ms + link_wait_factor * link_time_ms(*query_in.profile);
    }

    std::vector<path_part> run()
    {
        for (std::size_t at = 0; at + 1 < this->boundaries.size(); ++at) {
            this->advance(at);
        }
        return this->trace_back();
    }

private:
    struct cheapest {
        double cost = unreachable;
        std::size_t engine = SIZE_MAX;
    };

    // The cost of a hop depends only on the two data centres, so the cheapest path that ends in each data
    // centre is enough to find the best change of engine.
    [[nodiscard]] std::map<data_centre_id, cheapest> cheapest_by_centre(std::size_t at) const
    {
        std::map<data_centre_id, cheapest> best;
        for (std::size_t engine = 0; engine < this->candidates.size(); ++engine) {
            const double cost = this->best_paths[at][engine].cost;
            cheapest& known = best[this->candidates[engine].target->data_centre];
            if (cost < known.cost) {
                known = {cost, engine};
            }
        }
        return best;
    }

    [[nodiscard]] double hop_cost(const data_centre_id& from, const data_centre_id& to) const
    {
        return from == to ? same_centre_hop_ms : this->other_centre_hop_ms;
    }

    [[nodiscard]] double begin_cost(const path_candidate& candidate) const
    {
        const data_centre_id& centre = candidate.target->data_centre;
        if (this->query.previous != nullptr) {
            return this->hop_cost(this->query.previous->data_centre, centre);
        }
        if (!candidate.may_enter) {
            return unreachable;
        }
        const double entry_ms = centre == this->query.entry ? same_centre_hop_ms : other_centre_entry_ms;
        return entry_ms +
               full_entry_penalty_ms * utilisation_penalty(candidate.entry_slots_used, usual_free_share);
    }

    // The cheapest path on which engine `to` takes over at the boundary.
    [[nodiscard]] partial_path take_over(std::size_t at, std::size_t to,
                                         const std::map<data_centre_id, cheapest>& best) const
    {
        const data_centre_id& centre = this->candidates[to].target->data_centre;
        partial_path result;
        result.engine_begin = this->boundaries[at];
        if (at == 0) {
            result.cost = this->begin_cost(this->candidates[to]);
            return result;
        }
        for (const auto& [from_centre, from] : best) {
            const double cost = from.cost + this->hop_cost(from_centre, centre);
            if (cost < result.cost) {
                result.cost = cost;
                result.from = from.engine;
            }
        }
        return result;
    }

    void advance(std::size_t at)
    {
        const std::map<data_centre_id, cheapest> best = this->cheapest_by_centre(at);
        const std::int64_t begin = this->boundaries[at];
        const std::int64_t end = this->boundaries[at + 1];
        for (std::size_t engine = 0; engine < this->candidates.size(); ++engine) {
            const held_layers& held = this->candidates[engine].target->layers;
            if (held.begin > begin || held.end < end) {
                continue;
            }
            partial_path current = this->take_over(at, engine, best);
            const partial_path& stayed = this->best_paths[at][engine];
            if (stayed.cost <= current.cost) {
                current = stayed;
            }
            current.cost += this->costs[engine] * static_cast<double>(end - begin);
            this->best_paths[at + 1][engine] = current;
        }
    }

    [[nodiscard]] std::size_t index_of(std::int64_t boundary) const
    {
        return static_cast<std::size_t>(std::ranges::lower_bound(this->boundaries, boundary) -
                                        this->boundaries.begin());
    }

    [[nodiscard]] std::vector<path_part> trace_back() const
    {
        std::size_t at = this->boundaries.size() - 1;
        const auto& ends = this->best_paths[at];
        std::size_t engine = 0;
        for (std::size_t other = 1; other < ends.size(); ++other) {
            if (ends[other].cost < ends[engine].cost) {
                engine = other;
            }
        }
        if (ends.empty() || ends[engine].cost == unreachable) {
            return {};
        }
        std::vector<path_part> path;
        while (at > 0) {
            const partial_path& current = this->best_paths[at][engine];
            path.push_back({this->candidates[engine].target, {current.engine_begin, this->boundaries[at]}});
            at = this->index_of(current.engine_begin);
            engine = current.from;
        }
        std::ranges::reverse(path);
        return merge_repeated_engines(std::move(path));
    }

    const path_query& query;
    const std::vector<path_candidate>& candidates;
    std::vector<std::int64_t> boundaries;
    std::vector<std::vector<partial_path>> best_paths;
    std::vector<double> costs;
    double other_centre_hop_ms = 0;
};

} // namespace

double step_ms_of_request(const engine_profile& profile)
{
    const double context_k = (profile.mean_prompt_tokens + profile.mean_answer_tokens / 2) / 1000;
    return profile.step_ms_per_request + profile.step_ms_per_context_k * context_k;
}

double step_time_ms(const engine_profile& profile, const accelerator_kind& kind, std::int64_t layers,
                    double running)
{
    const double whole = profile.step_ms + running * step_ms_of_request(profile);
    return whole * kind.step_factor * static_cast<double>(layers) / static_cast<double>(profile.layers);
}

double prefill_time_ms(const engine_profile& profile, const accelerator_kind& kind, std::int64_t layers,
                       double tokens)
{
    if (profile.prefill_tokens_per_ms <= 0 || profile.layers <= 0) {
        return 0;
    }
    return tokens / profile.prefill_tokens_per_ms * kind.prefill_factor * static_cast<double>(layers) /
           static_cast<double>(profile.layers);
}

double step_time_factor(const path_candidate& candidate)
{
    return candidate.slowness / (1 - std::min(candidate.prefill_load, max_prefill_share));
}

double kv_cache_tokens(const engine_profile& profile, const accelerator_kind& kind, std::int64_t held)
{
    if (held <= 0) {
        return 0;
    }
    const double left = kind.memory_mb - profile.layer_mb * static_cast<double>(held);
    const double token_mb = profile.kv_cache_bytes_per_token / mb_in_bytes * static_cast<double>(held) /
                            static_cast<double>(profile.layers);
    return token_mb <= 0 ? 0 : std::max(0.0, left / token_mb);
}

path_candidate candidate_with(const engine_profile& profile, const registered_target& target,
                              const engine_use& use, double slowness)
{
    path_candidate candidate;
    candidate.target = &target;
    candidate.running = static_cast<double>(use.running);
    candidate.remaining_tokens = use.remaining;
    const auto slots = static_cast<double>(std::max<std::int64_t>(1, target.slots));
    candidate.entry_slots_used = static_cast<double>(use.entered) / slots;
    candidate.slowness = slowness;
    const accelerator_kind* kind = find_kind(profile, target.kind);
    if (kind != nullptr) {
        const std::int64_t held = target.layers.size();
        const double room = kv_cache_tokens(profile, *kind, held) * static_cast<double>(held);
        candidate.kv_cache_used = room > 0 ? use.token_layers / room : 1;
        candidate.prefill_load = slowness * prefill_time_ms(profile, *kind, 1, use.prefill_load);
    }
    return candidate;
}

void estimate_meanwhile(std::vector<path_candidate>& candidates, double answer_tokens)
{
    struct kind_load {
        double running = 0;
        double engines = 0;
    };
    std::map<std::string_view, kind_load> kinds;
    for (const path_candidate& candidate : candidates) {
        kind_load& load = kinds[candidate.target->kind];
        load.running += candidate.running;
        ++load.engines;
    }
    for (path_candidate& candidate : candidates) {
        const kind_load& alike = kinds[candidate.target->kind];
        candidate.running_meanwhile = mean_running(
            {candidate.running, candidate.remaining_tokens, alike.running / alike.engines}, answer_tokens);
    }
}

std::vector<path_part> find_layer_path(const path_query& query, const std::vector<path_candidate>& candidates)
{
    std::vector<path_part> path = path_search(query, candidates).run();
    if (path.size() > max_parts) {
        return {};
    }
    return path;
}

bool is_valid_path(const std::vector<path_part>& path, std::int64_t from_layer, std::int64_t layers)
{
    std::int64_t next = from_layer;
    for (const path_part& part : path) {
        if (part.layers.begin != next || part.layers.empty() ||
            part.layers.begin < part.target->layers.begin || part.layers.end > part.target->layers.end) {
            return false;
        }
        next = part.layers.end;
    }
    return next == layers;
}

} // namespace dandelionstep
