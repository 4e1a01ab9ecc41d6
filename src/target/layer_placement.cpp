#include "target/layer_placement.hpp"

#include "route/layer_path.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace dandelionstep {
namespace {

// Size of the KV cache, in tokens, that should fit on an engine beside its layers. A larger cache means fewer
// layers on each engine and longer paths; with a smaller one requests are preempted under load.
constexpr double max_cache_tokens = 160'000;
constexpr double min_cache_tokens = 30'000;
constexpr double cache_tokens_step = 10'000;
// Copies of the model that the engines of a pool should be able to hold: the part above 1 allows for
// replacing a lost engine.
constexpr double wanted_copies = 1.1;
constexpr double mb_in_bytes = 1e6;

// The engines of a pool that hold a layer: their number, and their capacity together.
struct layer_coverage {
    double capacity = 0;
    int holders = 0;
};

// Engines that together hold one or more whole copies of the model.
struct engine_pool {
    std::vector<const registered_target*> engines;
    double memory_mb = 0;
};

// Most layers beside which a KV cache of `cache_tokens` tokens fits on an accelerator of the kind.
std::int64_t layers_beside_cache(const engine_profile& profile, const accelerator_kind& kind,
                                 double cache_tokens)
{
    const double token_mb =
        profile.kv_cache_bytes_per_token / mb_in_bytes / static_cast<double>(profile.layers);
    const double each = profile.layer_mb + cache_tokens * token_mb;
    const auto fit = static_cast<std::int64_t>(std::floor(kind.memory_mb / each));
    return std::clamp<std::int64_t>(fit, 0, profile.layers);
}

double layers_in_pool(const engine_profile& profile, const engine_pool& pool, double cache_tokens)
{
    double total = 0;
    for (const registered_target* engine : pool.engines) {
        total += static_cast<double>(
            layers_beside_cache(profile, *find_kind(profile, engine->kind), cache_tokens));
    }
    return total;
}

// The largest KV cache, in tokens, beside which the pool still holds the wanted copies of the model; at least
// the minimum.
double choose_cache_tokens(const engine_profile& profile, const engine_pool& pool)
{
    const double wanted = wanted_copies * static_cast<double>(profile.layers);
    double cache_tokens = max_cache_tokens;
    while (cache_tokens > min_cache_tokens && layers_in_pool(profile, pool, cache_tokens) < wanted) {
        cache_tokens -= cache_tokens_step;
    }
    return cache_tokens;
}

bool can_hold_a_copy(const engine_profile& profile, const engine_pool& pool)
{
    return layers_in_pool(profile, pool, min_cache_tokens) >= static_cast<double>(profile.layers);
}

std::vector<engine_pool> make_pools(const engine_profile& profile,
                                    const std::vector<registered_target>& engines)
{
    std::map<data_centre_id, engine_pool> by_data_centre;
    for (const registered_target& engine : engines) {
        const accelerator_kind* kind = find_kind(profile, engine.kind);
        // A registration may contain any numbers, and the planner uses layers as indexes.
        if (kind == nullptr || engine.leaving || !engine.layers.within(profile.layers)) {
            continue;
        }
        engine_pool& pool = by_data_centre[engine.data_centre];
        pool.engines.push_back(&engine);
        pool.memory_mb += kind->memory_mb;
    }
    std::vector<engine_pool> pools;
    engine_pool combined;
    for (auto& [data_centre, pool] : by_data_centre) {
        if (can_hold_a_copy(profile, pool)) {
            pools.push_back(std::move(pool));
            continue;
        }
        combined.engines.insert(combined.engines.end(), pool.engines.begin(), pool.engines.end());
        combined.memory_mb += pool.memory_mb;
    }
    if (combined.engines.empty()) {
        return pools;
    }
    if (can_hold_a_copy(profile, combined) || pools.empty()) {
        pools.push_back(std::move(combined));
        return pools;
    }
    engine_pool& host = *std::ranges::max_element(pools, {}, &engine_pool::memory_mb);
    host.engines.insert(host.engines.end(), combined.engines.begin(), combined.engines.end());
    return pools;
}

class pool_planner {
public:
    pool_planner(const engine_profile& profile_in, const engine_pool& pool_in)
        : profile(profile_in), pool(pool_in), cache_tokens(choose_cache_tokens(profile_in, pool_in)),
          coverage(static_cast<std::size_t>(profile_in.layers))
    {}

    layer_placement run()
    {
        std::vector<const registered_target*> empty;
        for (const registered_target* engine : this->pool.engines) {
            if (engine->layers.empty()) {
                empty.push_back(engine);
            } else {
                this->cover(*engine, engine->layers);
            }
        }
        std::ranges::stable_sort(empty,
                                 [this](const auto* a, const auto* b) { return this->is_faster(*a, *b); });
        for (const registered_target* engine : empty) {
            this->place(*engine);
        }
        this->fill_gaps();
        return this->chosen;
    }

private:
    [[nodiscard]] bool is_faster(const registered_target& a, const registered_target& b) const
    {
        const double a_factor = find_kind(this->profile, a.kind)->step_factor;
        const double b_factor = find_kind(this->profile, b.kind)->step_factor;
        return a_factor != b_factor ? a_factor < b_factor : a.id < b.id;
    }

    // The capacity that the engine adds to each of the layers; less for a slow engine or one with a small
    // KV cache.
    [[nodiscard]] double capacity_of(const registered_target& engine, held_layers layers) const
    {
        const accelerator_kind& kind = *find_kind(this->profile, engine.kind);
        const double tokens = std::min(max_cache_tokens, kv_cache_tokens(this->profile, kind, layers.size()));
        return tokens / max_cache_tokens / kind.step_factor;
    }

    void cover(const registered_target& engine, held_layers layers)
    {
        this->add(layers, this->capacity_of(engine, layers), 1);
        this->held_by[engine.id] = layers;
    }

    void uncover(const registered_target& engine, held_layers layers)
    {
        this->add(layers, -this->capacity_of(engine, layers), -1);
    }

    void add(held_layers layers, double added_capacity, int added_holders)
    {
        for (std::int64_t layer = layers.begin; layer < layers.end; ++layer) {
            layer_coverage& cover = this->coverage[static_cast<std::size_t>(layer)];
            cover.capacity += added_capacity;
            cover.holders += added_holders;
        }
    }

    [[nodiscard]] const layer_coverage& coverage_of(std::int64_t layer) const
    {
        return this->coverage[static_cast<std::size_t>(layer)];
    }

    // The `size` consecutive layers with the least total capacity. Among equals the last ones are chosen: the
    // slowest engines, which are placed last, then hold the first layers, so that more than one engine lets
    // requests in.
    [[nodiscard]] held_layers least_covered(std::int64_t size) const
    {
        constexpr double tolerance = 1e-6;
        double sum = 0;
        for (std::int64_t layer = 0; layer < size; ++layer) {
            sum += this->coverage_of(layer).capacity;
        }
        double best_sum = sum;
        std::int64_t best = 0;
        for (std::int64_t begin = 1; begin + size <= this->profile.layers; ++begin) {
            sum += this->coverage_of(begin + size - 1).capacity;
            sum -= this->coverage_of(begin - 1).capacity;
            if (sum <= best_sum + tolerance) {
                best_sum = std::min(sum, best_sum);
                best = begin;
            }
        }
        return {best, best + size};
    }

    void place(const registered_target& engine)
    {
        const std::int64_t size =
            layers_beside_cache(this->profile, *find_kind(this->profile, engine.kind), this->cache_tokens);
        if (size == 0) {
            return;
        }
        const held_layers window = this->least_covered(size);
        this->chosen[engine.id] = window;
        this->cover(engine, window);
    }

    [[nodiscard]] std::optional<held_layers> first_gap() const
    {
        std::int64_t begin = 0;
        while (begin<this->profile.layers&& this->coverage_of(begin).holders> 0) {
            ++begin;
        }
        if (begin == this->profile.layers) {
            return std::nullopt;
        }
        std::int64_t end = begin;
        while (end < this->profile.layers && this->coverage_of(end).holders == 0) {
            ++end;
        }
        return held_layers{begin, end};
    }

    // Whether other engines of the pool hold all these layers as well.
    [[nodiscard]] bool is_redundant(held_layers layers) const
    {
        for (std::int64_t layer = layers.begin; layer < layers.end; ++layer) {
            if (this->coverage_of(layer).holders < 2) {
                return false;
            }
        }
        return true;
    }

    // The redundant engine that can hold the most layers of the gap beside a KV cache of `kept_cache_tokens`
    // tokens; the fastest one of equals; nullptr when there is none.
    [[nodiscard]] const registered_target* find_donor(std::int64_t gap, double kept_cache_tokens) const
    {
        const registered_target* best = nullptr;
        std::int64_t best_fill = 0;
        for (const registered_target* engine : this->pool.engines) {
            const auto held = this->held_by.find(engine->id);
            if (held == this->held_by.end() || !this->is_redundant(held->second)) {
                continue;
            }
            const accelerator_kind& kind = *find_kind(this->profile, engine->kind);
            const std::int64_t fill =
                std::min(gap, layers_beside_cache(this->profile, kind, kept_cache_tokens));
            if (fill > best_fill ||
                (fill == best_fill && best != nullptr && this->is_faster(*engine, *best))) {
                best = engine;
                best_fill = fill;
            }
        }
        return best;
    }

    void move(const registered_target& engine, held_layers to)
    {
        this->uncover(engine, this->held_by[engine.id]);
        this->chosen[engine.id] = to;
        this->cover(engine, to);
    }

    // Lets an engine whose layers are next to the gap hold more layers, which makes its KV cache smaller.
    bool extend_into(held_layers gap)
    {
        for (const registered_target* engine : this->pool.engines) {
            const auto found = this->held_by.find(engine->id);
            if (found == this->held_by.end()) {
                continue;
            }
            const held_layers held = found->second;
            const std::int64_t most =
                layers_beside_cache(this->profile, *find_kind(this->profile, engine->kind), min_cache_tokens);
            const std::int64_t extra = std::min(gap.size(), most - held.size());
            if (extra <= 0) {
                continue;
            }
            if (held.end == gap.begin) {
                this->move(*engine, {held.begin, held.end + extra});
                return true;
            }
            if (held.begin == gap.end) {
                this->move(*engine, {held.begin - extra, held.end});
                return true;
            }
        }
        return false;
    }

    void fill_gaps()
    {
        // Each round fills at least one layer of a gap or ends the loop.
        for (std::int64_t round = 0; round < this->profile.layers; ++round) {
            const std::optional<held_layers> gap = this->first_gap();
            if (!gap) {
                return;
            }
            // Engines that keep the planned KV cache come first: one with a small cache would preempt
            // requests, and all requests of the data centre pass through it.
            if (!this->fill_by_donor(*gap, this->cache_tokens) &&
                !this->fill_by_donor(*gap, min_cache_tokens) && !this->extend_into(*gap)) {
                return;
            }
        }
    }

    bool fill_by_donor(held_layers gap, double kept_cache_tokens)
    {
        const registered_target* donor = this->find_donor(gap.size(), kept_cache_tokens);
        if (donor == nullptr) {
            return false;
        }
        const accelerator_kind& kind = *find_kind(this->profile, donor->kind);
        const std::int64_t most = layers_beside_cache(this->profile, kind, kept_cache_tokens);
        this->move(*donor, {gap.begin, gap.begin + std::min(gap.size(), most)});
        return true;
    }

    const engine_profile& profile;
    const engine_pool& pool;
    double cache_tokens;
    std::vector<layer_coverage> coverage;
    std::map<target_id, held_layers> held_by;
    layer_placement chosen;
};

} // namespace

layer_placement plan_layers(const engine_profile& profile, const std::vector<registered_target>& engines)
{
    layer_placement result;
    if (profile.layers <= 0 || profile.layer_mb <= 0) {
        return result;
    }
    for (const engine_pool& pool : make_pools(profile, engines)) {
        result.merge(pool_planner(profile, pool).run());
    }
    return result;
}

} // namespace dandelionstep
