#include "route/placement_bound.hpp"

#include "route/layer_path.hpp"
#include "route/max_flow.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

// A range of layers that are all held by the same engines.
struct layer_segment {
    std::int64_t begin = 0;
    std::int64_t end = 0;
};

std::vector<layer_segment> segments_of(const engine_profile& profile,
                                       const std::vector<registered_target>& engines)
{
    std::vector<std::int64_t> boundaries{0, profile.layers};
    for (const registered_target& engine : engines) {
        boundaries.push_back(std::clamp<std::int64_t>(engine.layers.begin, 0, profile.layers));
        boundaries.push_back(std::clamp<std::int64_t>(engine.layers.end, 0, profile.layers));
    }
    std::ranges::sort(boundaries);
    boundaries.erase(std::unique(boundaries.begin(), boundaries.end()), boundaries.end());
    std::vector<layer_segment> segments;
    for (std::size_t i = 0; i + 1 < boundaries.size(); ++i) {
        segments.push_back({boundaries[i], boundaries[i + 1]});
    }
    return segments;
}

// Finds by maximum flow whether the engines can do some amount of work for every layer. An engine's capacity
// is the sum of the work that it can do for all layers that it holds.
class layer_flow {
public:
    layer_flow(std::vector<layer_segment> segments_in, const std::vector<registered_target>& engines_in)
        : segments(std::move(segments_in)), engines(engines_in)
    {}

    [[nodiscard]] bool is_feasible(double amount, const std::vector<double>& capacities) const
    {
        constexpr double tolerance = 1e-6;
        const std::size_t source = this->segments.size() + this->engines.size();
        const std::size_t sink = source + 1;
        flow_network network(sink + 1);
        double wanted = 0;
        for (std::size_t i = 0; i < this->segments.size(); ++i) {
            const double need = amount * static_cast<double>(this->segments[i].end - this->segments[i].begin);
            wanted += need;
            network.add_edge(source, i, need);
            this->add_holders(network, i, need);
        }
        for (std::size_t i = 0; i < this->engines.size(); ++i) {
            network.add_edge(this->segments.size() + i, sink, capacities[i]);
        }
        return network.saturate(source, sink) >= wanted * (1 - tolerance);
    }

    // The largest feasible amount.
    [[nodiscard]] double max_amount(const std::vector<double>& capacities) const
    {
        constexpr int bisection_steps = 40;
        double high = 0;
        for (const double capacity : capacities) {
            high += capacity;
        }
        double low = 0;
        for (int i = 0; i < bisection_steps; ++i) {
            const double middle = (low + high) / 2;
            (this->is_feasible(middle, capacities) ? low : high) = middle;
        }
        return low;
    }

private:
    void add_holders(flow_network& network, std::size_t segment, double need) const
    {
        for (std::size_t i = 0; i < this->engines.size(); ++i) {
            const held_layers& held = this->engines[i].layers;
            if (held.begin <= this->segments[segment].begin && this->segments[segment].end <= held.end) {
                network.add_edge(segment, this->segments.size() + i, need);
            }
        }
    }

    std::vector<layer_segment> segments;
    const std::vector<registered_target>& engines;
};

// KV cache that fits into the engine's memory beside its layers, in tokens times layers.
double token_layer_capacity(const engine_profile& profile, const registered_target& engine)
{
    const accelerator_kind* kind = find_kind(profile, engine.kind);
    const std::int64_t held = engine.layers.size();
    return kind == nullptr ? 0 : kv_cache_tokens(profile, *kind, held) * static_cast<double>(held);
}

// Work that the engine can do in a second, in answer tokens times layers.
double token_layers_per_second(const engine_profile& profile, const registered_target& engine)
{
    constexpr double ms_per_second = 1000;
    const accelerator_kind* kind = find_kind(profile, engine.kind);
    if (kind == nullptr || engine.layers.empty() || profile.mean_answer_tokens <= 0) {
        return 0;
    }
    const double decode_ms = step_ms_of_request(profile) * kind->step_factor;
    const double prefill_ms = profile.mean_prompt_tokens / profile.mean_answer_tokens /
                              profile.prefill_tokens_per_ms * kind->prefill_factor;
    const double per_layer = (decode_ms + prefill_ms) / static_cast<double>(profile.layers);
    return per_layer <= 0 ? 0 : ms_per_second / per_layer;
}

} // namespace

placement_bound find_placement_bound(const engine_profile& profile,
                                     const std::vector<registered_target>& engines)
{
    placement_bound bound;
    if (profile.layers <= 0) {
        return bound;
    }
    const layer_flow flow(segments_of(profile, engines), engines);
    std::vector<double> memory;
    std::vector<double> speed;
    for (const registered_target& engine : engines) {
        memory.push_back(token_layer_capacity(profile, engine));
        speed.push_back(token_layers_per_second(profile, engine));
    }
    bound.tokens_in_memory = flow.max_amount(memory);
    bound.tokens_per_second = flow.max_amount(speed);
    return bound;
}

} // namespace dandelionstep
