#include "route/layer_path.hpp"

#include "absl/strings/str_cat.h"
#include "support/mixed_engines.hpp"

#include <doctest/doctest.h>
#include <random>
#include <set>

using namespace dandelionstep;
using namespace dandelionstep::testing;

namespace {

// The costs of hops and entries that the search uses, repeated here.
constexpr double same_centre_hop_ms = 0.5;
constexpr double other_centre_entry_ms = 3.0;
// The time for which one prompt occupies the link. It counts four times, in addition to a local hop.
constexpr double link_ms = 774.0 * 45'900 * 8 / 26'000'000;
constexpr double other_centre_hop_ms = same_centre_hop_ms + 4 * link_ms;

double cost_of(const engine_profile& profile, const data_centre_id& entry, const std::vector<path_part>& path)
{
    double cost = 0;
    data_centre_id at = entry;
    for (const path_part& part : path) {
        const bool is_first = &part == &path.front();
        const double remote_ms = is_first ? other_centre_entry_ms : other_centre_hop_ms;
        cost += part.target->data_centre == at ? same_centre_hop_ms : remote_ms;
        cost += step_time_ms(profile, profile.kinds.at(part.target->kind), part.layers.size(), 0);
        at = part.target->data_centre;
    }
    return cost;
}

// Tries every path that uses no engine twice.
class exhaustive_search {
public:
    exhaustive_search(const engine_profile& profile_in, data_centre_id entry_in,
                      const std::vector<registered_target>& engines_in)
        : profile(profile_in), entry(std::move(entry_in)), engines(engines_in)
    {}

    double best()
    {
        this->extend(0);
        return this->least;
    }

private:
    void extend(std::int64_t covered)
    {
        if (covered == this->profile.layers) {
            this->least = std::min(this->least, cost_of(this->profile, this->entry, this->path));
            return;
        }
        for (const registered_target& engine : this->engines) {
            if (this->used.contains(engine.id) || engine.layers.begin > covered ||
                engine.layers.end <= covered) {
                continue;
            }
            this->used.insert(engine.id);
            for (std::int64_t end = covered + 1; end <= engine.layers.end; ++end) {
                this->path.push_back({&engine, {covered, end}});
                this->extend(end);
                this->path.pop_back();
            }
            this->used.erase(engine.id);
        }
    }

    const engine_profile& profile;
    data_centre_id entry;
    const std::vector<registered_target>& engines;
    std::vector<path_part> path;
    std::set<target_id> used;
    double least = 1e18;
};

std::vector<registered_target> random_engines(std::mt19937_64& random, std::int64_t layers)
{
    static const std::vector<std::string> kinds{"large", "middle", "small"};
    std::vector<registered_target> engines;
    const int count = 2 + static_cast<int>(random() % 4);
    for (int i = 0; i < count; ++i) {
        const auto begin = static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(layers));
        const auto size = 1 + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(layers));
        engines.push_back(engine_with(absl::StrCat("e", i), kinds[random() % 3],
                                      random() % 2 == 0 ? "n" : "p", random() % 3 == 0 ? 0 : begin,
                                      std::min(layers, begin + size)));
    }
    return engines;
}

} // namespace

TEST_CASE("the path costs no more than the best of all paths, unless it would use an engine twice")
{
    constexpr std::uint64_t seeds = 3000;
    engine_profile profile = mixed_profile();
    profile.layers = 6;
    int found = 0;
    int more_expensive = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        const std::vector<registered_target> engines = random_engines(random, profile.layers);
        path_query query;
        query.profile = &profile;
        query.entry = data_centre_id("n");
        std::vector<path_candidate> candidates;
        candidates.reserve(engines.size());
        for (const registered_target& engine : engines) {
            candidates.push_back({&engine, 0, 0, 0, 1});
        }
        const std::vector<path_part> path = find_layer_path(query, candidates);
        const double best = exhaustive_search(profile, query.entry, engines).best();
        REQUIRE(path.empty() == (best > 1e17));
        if (path.empty()) {
            continue;
        }
        ++found;
        REQUIRE(is_valid_path(path, 0, profile.layers));
        std::set<target_id> distinct;
        for (const path_part& part : path) {
            distinct.insert(part.target->id);
        }
        REQUIRE(distinct.size() == path.size());
        if (cost_of(profile, query.entry, path) > best + 1e-6) {
            ++more_expensive;
        }
    }
    REQUIRE(found > 1000);
    // An engine that the search would use twice runs the layers in between as well, which may cost more than
    // another path.
    CHECK(more_expensive < found / 50);
}
