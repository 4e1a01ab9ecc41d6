#include "target/layer_placement.hpp"

#include "route/layer_path.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace dandelionstep {
namespace {

// Tokens of requests that an engine should have room for beside its layers. More room means fewer layers on
// each engine and longer paths; less means that requests are preempted under load.
constexpr double most_token_room = 160'000;
constexpr double least_token_room = 30'000;
constexpr double token_room_step = 10'000;
// Share of the model by which the engines of a pool should exceed one copy, so that a loss can be filled.
constexpr double spare_share = 1.1;
constexpr double mb_in_bytes = 1e6;

// What the engines of a pool that hold a layer can do together.
struct layer_cover {
    double capacity = 0;
    int holders = 0;
};

// Engines that together hold whole copies of the model.
struct engine_pool {
    std::vector<const registered_target*> engines;
    double memory_mb = 0;
};

// Most layers that leave the engine room for `room` tokens.
std::int64_t layers_with_room(const engine_profile& profile, const accelerator_kind& kind, double room)
{
    const double token_mb =
        profile.kv_cache_bytes_per_token / mb_in_bytes / static_cast<double>(profile.layers);
    const double each = profile.layer_mb + room * token_mb;
    const auto fit = static_cast<std::int64_t>(std::floor(kind.memory_mb / each));
    return std::clamp<std::int64_t>(fit, 0, profile.layers);
}

double layers_in_pool(const engine_profile& profile, const engine_pool& pool, double room)
{
    double total = 0;
    for (const registered_target* engine : pool.engines) {
        total += static_cast<double>(layers_with_room(profile, *find_kind(profile, engine->kind), room));
    }
    return total;
}

// The most room for requests with which the pool still holds a copy and some to spare.
double choose_room(const engine_profile& profile, const engine_pool& pool)
{
    const double wanted = spare_share * static_cast<double>(profile.layers);
    double room = most_token_room;
    while (room > least_token_room && layers_in_pool(profile, pool, room) < wanted) {
        room -= token_room_step;
    }
    return room;
}

bool can_hold_a_copy(const engine_profile& profile, const engine_pool& pool)
{
    return layers_in_pool(profile, pool, least_token_room) >= static_cast<double>(profile.layers);
}

std::vector<engine_pool> make_pools(const engine_profile& profile,
                                    const std::vector<registered_target>& engines)
{
    std::map<data_centre_id, engine_pool> by_centre;
    for (const registered_target& engine : engines) {
        const accelerator_kind* kind = find_kind(profile, engine.kind);
        // A registration may say anything, and the plan counts by layer.
        if (kind == nullptr || engine.leaving || !engine.layers.within(profile.layers)) {
            continue;
        }
        engine_pool& pool = by_centre[engine.data_centre];
        pool.engines.push_back(&engine);
        pool.memory_mb += kind->memory_mb;
    }
    std::vector<engine_pool> pools;
    engine_pool small;
    for (auto& [centre, pool] : by_centre) {
        if (can_hold_a_copy(profile, pool)) {
            pools.push_back(std::move(pool));
            continue;
        }
        small.engines.insert(small.engines.end(), pool.engines.begin(), pool.engines.end());
        small.memory_mb += pool.memory_mb;
    }
    if (small.engines.empty()) {
        return pools;
    }
    if (can_hold_a_copy(profile, small) || pools.empty()) {
        pools.push_back(std::move(small));
        return pools;
    }
    engine_pool& host = *std::ranges::max_element(pools, {}, &engine_pool::memory_mb);
    host.engines.insert(host.engines.end(), small.engines.begin(), small.engines.end());
    return pools;
}

class pool_planner {
public:
    pool_planner(const engine_profile& profile_in, const engine_pool& pool_in)
        : profile(profile_in), pool(pool_in), room(choose_room(profile_in, pool_in)),
          covers(static_cast<std::size_t>(profile_in.layers))
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

    // What the engine adds to each of the layers: engines that are slow or have little room add little.
    [[nodiscard]] double capacity_of(const registered_target& engine, held_layers layers) const
    {
        const accelerator_kind& kind = *find_kind(this->profile, engine.kind);
        const double tokens = std::min(most_token_room, kv_cache_tokens(this->profile, kind, layers.size()));
        return tokens / most_token_room / kind.step_factor;
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
            layer_cover& cover = this->covers[static_cast<std::size_t>(layer)];
            cover.capacity += added_capacity;
            cover.holders += added_holders;
        }
    }

    [[nodiscard]] const layer_cover& cover_of(std::int64_t layer) const
    {
        return this->covers[static_cast<std::size_t>(layer)];
    }

    // The run of `size` layers that has the least capacity in sum; the last of equals, so that the slowest
    // engines, which come last, hold the first layers, and more than one engine takes in requests.
    [[nodiscard]] held_layers least_covered(std::int64_t size) const
    {
        constexpr double equal_within = 1e-6;
        double sum = 0;
        for (std::int64_t layer = 0; layer < size; ++layer) {
            sum += this->cover_of(layer).capacity;
        }
        double best_sum = sum;
        std::int64_t best = 0;
        for (std::int64_t begin = 1; begin + size <= this->profile.layers; ++begin) {
            sum += this->cover_of(begin + size - 1).capacity;
            sum -= this->cover_of(begin - 1).capacity;
            if (sum <= best_sum + equal_within) {
                best_sum = std::min(sum, best_sum);
                best = begin;
            }
        }
        return {best, best + size};
    }

    void place(const registered_target& engine)
    {
        const std::int64_t size =
            layers_with_room(this->profile, *find_kind(this->profile, engine.kind), this->room);
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
        while (begin<this->profile.layers&& this->cover_of(begin).holders> 0) {
            ++begin;
        }
        if (begin == this->profile.layers) {
            return std::nullopt;
        }
        std::int64_t end = begin;
        while (end < this->profile.layers && this->cover_of(end).holders == 0) {
            ++end;
        }
        return held_layers{begin, end};
    }

    // Whether others in the pool hold all these layers as well.
    [[nodiscard]] bool is_redundant(held_layers layers) const
    {
        for (std::int64_t layer = layers.begin; layer < layers.end; ++layer) {
            if (this->cover_of(layer).holders < 2) {
                return false;
            }
        }
        return true;
    }

    // The redundant engine that can fill most of the gap and keep the room; the fastest of equals.
    [[nodiscard]] const registered_target* find_donor(std::int64_t gap, double kept_room) const
    {
        const registered_target* best = nullptr;
        std::int64_t best_fill = 0;
        for (const registered_target* engine : this->pool.engines) {
            const auto held = this->held_by.find(engine->id);
            if (held == this->held_by.end() || !this->is_redundant(held->second)) {
                continue;
            }
            const accelerator_kind& kind = *find_kind(this->profile, engine->kind);
            const std::int64_t fill = std::min(gap, layers_with_room(this->profile, kind, kept_room));
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

    // Lets an engine beside the gap hold some more layers, at the price of room for requests.
    bool extend_into(held_layers gap)
    {
        for (const registered_target* engine : this->pool.engines) {
            const auto found = this->held_by.find(engine->id);
            if (found == this->held_by.end()) {
                continue;
            }
            const held_layers held = found->second;
            const std::int64_t most =
                layers_with_room(this->profile, *find_kind(this->profile, engine->kind), least_token_room);
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
        // Each turn fills at least one layer of a gap, or gives up.
        for (std::int64_t turn = 0; turn < this->profile.layers; ++turn) {
            const std::optional<held_layers> gap = this->first_gap();
            if (!gap) {
                return;
            }
            // Engines that keep little room would preempt requests, and all of the data centre's pass them.
            if (!this->fill_by_donor(*gap, this->room) && !this->fill_by_donor(*gap, least_token_room) &&
                !this->extend_into(*gap)) {
                return;
            }
        }
    }

    bool fill_by_donor(held_layers gap, double kept_room)
    {
        const registered_target* donor = this->find_donor(gap.size(), kept_room);
        if (donor == nullptr) {
            return false;
        }
        const accelerator_kind& kind = *find_kind(this->profile, donor->kind);
        const std::int64_t most = layers_with_room(this->profile, kind, kept_room);
        this->move(*donor, {gap.begin, gap.begin + std::min(gap.size(), most)});
        return true;
    }

    const engine_profile& profile;
    const engine_pool& pool;
    double room;
    std::vector<layer_cover> covers;
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
