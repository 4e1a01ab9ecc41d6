#include "route/pick_engine.hpp"

#include "common/hash.hpp"

#include <algorithm>
#include <array>

namespace dandelionstep {
namespace {

// Load reports are stale: with three or four samples, more daemons choose the same engine, and goodput at the
// throughput bound falls.
constexpr std::size_t max_sampled = 2;
constexpr std::uint64_t max_sampling_attempts = 8;
// The engine that got earlier requests with the prompt's prefix is considered if its cost without cached
// prefix is at most this many times that of the best sampled engine.
constexpr double affinity_load_bound = 1.25;
// Share of the prefill that remains if the prefix is cached.
constexpr double cached_prefill_share = 0.25;
constexpr double prefill_tokens_per_step = 256;

// One step of SplitMix64.
std::uint64_t mix(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

// Jump consistent hash (Lamping and Veach): few prefixes change their engine when a group grows by one.
std::size_t jump_hash(std::uint64_t key, std::size_t buckets)
{
    std::int64_t chosen = -1;
    std::int64_t next = 0;
    while (next < static_cast<std::int64_t>(buckets)) {
        chosen = next;
        key = key * 2862933555777941757ULL + 1;
        next = static_cast<std::int64_t>(
            static_cast<double>(chosen + 1) *
            (static_cast<double>(1LL << 31) / static_cast<double>((key >> 33U) + 1)));
    }
    return static_cast<std::size_t>(chosen);
}

std::size_t sample_by_rate(const engine_group& group, std::uint64_t random)
{
    constexpr double whole = 18446744073709551616.0;
    const std::vector<double>& sums = group.cumulative_tokens_per_second;
    const double point = static_cast<double>(random) / whole * sums.back();
    const auto found = std::ranges::upper_bound(sums, point);
    return std::min(static_cast<std::size_t>(found - sums.begin()), sums.size() - 1);
}

class group_picker {
public:
    group_picker(const model_routes& routes, const engine_group& group, const health_map& health,
                 const chain_query& query, time_point now)
        : routes(routes), group(group), health(health), query(query), now(now)
    {}

    std::optional<engine_pick> pick(std::uint64_t seed)
    {
        for (std::uint64_t i = 0; i < max_sampling_attempts && this->sampled_count < max_sampled; ++i) {
            this->consider(sample_by_rate(this->group, mix(seed + i)));
        }
        if (this->sampled_count == 0) {
            this->scan(seed);
        }
        this->consider_cached();
        return this->best;
    }

private:
    void consider(std::size_t index)
    {
        const auto end = this->sampled.begin() + static_cast<std::ptrdiff_t>(this->sampled_count);
        const target& engine = this->group.engines[index];
        if (std::find(this->sampled.begin(), end, index) != end ||
            !may_use(engine, this->health, this->query, this->now)) {
            return;
        }
        this->sampled[this->sampled_count++] = index;
        this->keep_if_cheaper({&engine, this->cost_of(engine, 1)});
    }

    // Checks the whole group when no sampled engine was eligible because most of the group is out of use.
    void scan(std::uint64_t seed)
    {
        const std::size_t size = this->group.engines.size();
        const std::size_t first = seed % size;
        for (std::size_t i = 0; i < size && this->sampled_count < max_sampled; ++i) {
            this->consider((first + i) % size);
        }
    }

    // Consistent hashing gives the engine that got earlier requests with this prefix. Cache events of the
    // engines would be late and incomplete.
    void consider_cached()
    {
        if (this->query.prefix_hash == 0 || !this->best) {
            return;
        }
        const target& cached =
            this->group.engines[jump_hash(this->query.prefix_hash, this->group.engines.size())];
        if (!may_use(cached, this->health, this->query, this->now)) {
            return;
        }
        const double full_cost = this->cost_of(cached, 1);
        if (full_cost <= this->best->cost_ms * affinity_load_bound) {
            this->keep_if_cheaper({&cached, this->cost_of(cached, cached_prefill_share)});
        }
    }

    void keep_if_cheaper(const engine_pick& found)
    {
        if (!this->best || found.cost_ms < this->best->cost_ms) {
            this->best = found;
        }
    }

    [[nodiscard]] double cost_of(const target& engine, double prefill_share) const
    {
        const auto prompt = static_cast<double>(this->query.prompt_tokens.value);
        const auto expected =
            static_cast<double>(std::max<std::int64_t>(this->query.expected_tokens.value, 1));
        const double prefill_steps = prefill_share * prompt / prefill_tokens_per_step;
        return stage_token_ms(*engine.engine, estimated_load(this->health, engine.id),
                              this->routes.idle_token_ms) +
               prefill_steps * engine.engine->step_ms / expected;
    }

    const model_routes& routes;
    const engine_group& group;
    const health_map& health;
    const chain_query& query;
    time_point now;
    std::array<std::size_t, max_sampled> sampled{};
    std::size_t sampled_count = 0;
    std::optional<engine_pick> best;
};

} // namespace

bool may_use(const target& engine, const health_map& health, const chain_query& query, time_point now)
{
    return !query.excluded.contains(engine.id) && is_eligible(health, engine.id, now);
}

std::optional<engine_pick> pick_engine(const model_routes& routes, std::size_t group,
                                       const health_map& health, const chain_query& query, time_point now)
{
    return group_picker(routes, routes.groups[group], health, query, now).pick(mix(query.seed ^ mix(group)));
}

} // namespace dandelionstep
