#include "route/choose_chain.hpp"

#include "absl/strings/str_cat.h"
#include "route/naive_chain.hpp"
#include "route/pick_engine.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>

namespace dandelionstep {
namespace {

constexpr double infinite = std::numeric_limits<double>::infinity();
// For a daemon whose data centre has neither engines of the model nor a declared link.
constexpr double unknown_link_ms = 1;
// Below saturation a longer queue delays tokens little, but its small cost spreads requests over equal
// engines.
constexpr double queue_weight = 0.25;

// Where a token's activation is after some of the layers: the next layer and the data centre.
struct search_state {
    layer_index boundary;
    std::size_t data_centre;

    friend bool operator<(const search_state& a, const search_state& b)
    {
        return std::tie(a.boundary, a.data_centre) < std::tie(b.boundary, b.data_centre);
    }
};

// The cheapest known way to a state, with its last engine and the state before that.
struct best_route {
    double cost = infinite;
    const target* last = nullptr;
    const search_state* previous = nullptr;
    bool settled = false;
};

// Dijkstra's algorithm over layer boundaries in data centres. An engine is picked from a group only when the
// search reaches the group, so that groups behind slow links are seldom examined.
class chain_search {
public:
    chain_search(const model_routes& routes, const health_map& health, const chain_query& query,
                 time_point now)
        : routes(routes), health(health), query(query), now(now), picks(routes.groups.size())
    {}

    std::vector<target> run()
    {
        this->expand_start();
        for (auto* next = this->cheapest_unsettled(); next != nullptr; next = this->cheapest_unsettled()) {
            next->second.settled = true;
            if (next->first.boundary == this->routes.layer_count) {
                return this->trace_back(next->second);
            }
            this->expand(next->first, next->second.cost);
        }
        return {};
    }

private:
    using map_entry = std::map<search_state, best_route>::value_type;

    struct cached_pick {
        bool known = false;
        std::optional<engine_pick> found;
    };

    void expand_start()
    {
        const auto& known = this->routes.data_centres;
        const auto origin = std::ranges::find(known, this->query.from);
        const auto own = static_cast<std::size_t>(origin - known.begin());
        this->for_each_group_from(layer_index{0}, [&](const engine_group& group, const engine_pick& pick) {
            const double link_ms =
                origin == known.end() ? unknown_link_ms : this->routes.token_link_ms[own][group.data_centre];
            this->relax({group.layers.end, group.data_centre}, link_ms + pick.cost_ms, *pick.engine, nullptr);
        });
    }

    void expand(const search_state& from, double cost)
    {
        this->for_each_group_from(from.boundary, [&](const engine_group& group, const engine_pick& pick) {
            const double link_ms = this->routes.token_link_ms[from.data_centre][group.data_centre];
            this->relax({group.layers.end, group.data_centre}, cost + link_ms + pick.cost_ms, *pick.engine,
                        &from);
        });
    }

    template <class Visit>
    void for_each_group_from(layer_index boundary, Visit visit)
    {
        const auto range = this->routes.groups_from.find(boundary);
        if (range == this->routes.groups_from.end()) {
            return;
        }
        for (std::size_t i = range->second.first; i < range->second.second; ++i) {
            if (!this->picks[i].known) {
                this->picks[i] = {true, pick_engine(this->routes, i, this->health, this->query, this->now)};
            }
            if (this->picks[i].found) {
                visit(this->routes.groups[i], *this->picks[i].found);
            }
        }
    }

    void relax(const search_state& to, double cost, const target& engine, const search_state* previous)
    {
        best_route& known = this->paths[to];
        if (!known.settled && cost < known.cost) {
            known = {cost, &engine, previous, false};
        }
    }

    map_entry* cheapest_unsettled()
    {
        map_entry* best = nullptr;
        for (map_entry& each : this->paths) {
            if (!each.second.settled && (best == nullptr || each.second.cost < best->second.cost)) {
                best = &each;
            }
        }
        return best;
    }

    std::vector<target> trace_back(const best_route& end)
    {
        std::vector<target> stages{*end.last};
        for (const search_state* at = end.previous; at != nullptr;) {
            const best_route& step = this->paths.at(*at);
            stages.push_back(*step.last);
            at = step.previous;
        }
        std::ranges::reverse(stages);
        return stages;
    }

    const model_routes& routes;
    const health_map& health;
    const chain_query& query;
    time_point now;
    std::vector<cached_pick> picks;
    // The routes point at keys of this map; its nodes keep their addresses.
    std::map<search_state, best_route> paths;
};

} // namespace

// With n requests at an engine of rate R, each request gets a token there every n / R at best. The part of
// this that exceeds the time of a token through an idle chain is spent waiting in the engine's queue.
double stage_token_ms(const engine_spec& engine, std::int64_t load, double idle_token_ms)
{
    constexpr double ms_per_second = 1000;
    const double round_ms = static_cast<double>(load + 1) * ms_per_second / engine.tokens_per_second;
    return engine.step_ms + queue_weight * round_ms + std::max(0.0, round_ms - idle_token_ms);
}

absl::StatusOr<chain> choose_chain(const route_index& index, const health_map& health,
                                   const chain_query& query, time_point now)
{
    const auto found = index.models.find(query.model);
    if (found == index.models.end()) {
        return absl::NotFoundError(absl::StrCat("model \"", query.model.value, "\" is not declared"));
    }
    const model_routes& routes = found->second;
    const std::vector<target> stages = query.policy == chain_policy::least_cost
                                           ? chain_search(routes, health, query, now).run()
                                           : choose_naive_stages(routes, health, query, now);
    if (stages.empty()) {
        return absl::UnavailableError(
            absl::StrCat("no eligible targets hold all layers of model \"", query.model.value, "\""));
    }
    return chain::make(routes.variant, routes.layer_count, stages);
}

} // namespace dandelionstep
