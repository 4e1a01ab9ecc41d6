#include "data_centre/rendezvous.hpp"

#include "common/hash.hpp"

#include <algorithm>
#include <utility>

namespace dandelionstep {

std::vector<vm_id> choose_by_rendezvous(const std::vector<vm_id>& candidates, std::string_view purpose,
                                        std::size_t count)
{
    const std::uint64_t seed = hash_of(purpose);
    std::vector<std::pair<std::uint64_t, vm_id>> ranked;
    ranked.reserve(candidates.size());
    for (const vm_id& candidate : candidates) {
        ranked.emplace_back(hash_of(candidate.value, seed), candidate);
    }
    std::ranges::sort(ranked, std::greater<>());
    std::vector<vm_id> chosen;
    for (const auto& [rank, vm] : ranked) {
        if (chosen.size() == count) {
            break;
        }
        chosen.push_back(vm);
    }
    return chosen;
}

} // namespace dandelionstep
