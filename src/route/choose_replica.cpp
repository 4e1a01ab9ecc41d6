#include "route/choose_replica.hpp"

#include "common/hash.hpp"

#include <tuple>

namespace dandelionstep {

std::optional<target> choose_replica(const declarations& declared, const health_map& health,
                                     const replica_query& query, time_point now)
{
    using rank = std::tuple<bool, std::int64_t, std::uint64_t>;
    const target* best = nullptr;
    rank best_rank;
    for (const auto& [id, candidate] : declared.targets) {
        if (candidate.service != query.service || query.excluded.contains(id) ||
            declared.draining.contains(id) || !is_eligible(health, id, now)) {
            continue;
        }
        const rank own{candidate.data_centre != query.from, estimated_load(health, id),
                       hash_of(id.value, query.seed)};
        if (best == nullptr || own < best_rank) {
            best = &candidate;
            best_rank = own;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

} // namespace dandelionstep
