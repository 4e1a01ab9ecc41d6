#include "route/throughput_bound.hpp"

#include "route/max_flow.hpp"

#include <limits>
#include <map>
#include <tuple>
#include <utility>

namespace dandelionstep {
namespace {

constexpr double unlimited = std::numeric_limits<double>::infinity();

// A node is a layer boundary in a data centre, split into an arrival side and a departure side. The split
// makes a flow cross at most one link between two stages and never pass through a third data centre, as
// activations go directly from engine to engine.
enum class side { arrival, departure };
using network_node = std::tuple<layer_index, data_centre_id, side>;

// Replicas of one layer range in one data centre are interchangeable, so they share one edge of the network.
using group_key = std::pair<layer_range, data_centre_id>;

struct group_rate {
    double tokens_per_second = 0;
    std::int64_t targets = 0;
};

struct limited_edge {
    std::size_t from;
    std::size_t to;
    bottleneck limit;
};

std::map<group_key, group_rate> group_engines(const declarations& declared, const model& wanted,
                                              const std::set<target_id>& lost)
{
    const model_variant variant{wanted.id, wanted.version, wanted.adapters};
    std::map<group_key, group_rate> groups;
    for (const auto& [id, each] : declared.targets) {
        if (each.engine && each.engine->variant == variant && !declared.draining.contains(id) &&
            !lost.contains(id)) {
            group_rate& rate = groups[{each.engine->layers, each.data_centre}];
            rate.tokens_per_second += each.engine->tokens_per_second;
            ++rate.targets;
        }
    }
    return groups;
}

const link& link_between(const declarations& declared, const data_centre_id& from, const data_centre_id& to)
{
    static const link undeclared;
    for (const link& known : declared.links) {
        if ((known.from == from && known.to == to) || (known.from == to && known.to == from)) {
            return known;
        }
    }
    return undeclared;
}

class bound_network {
public:
    bound_network(const declarations& declared, const model& wanted, const std::set<target_id>& lost)
        : declared(declared), wanted(wanted), groups(group_engines(declared, wanted, lost))
    {
        for (const auto& [key, rate] : this->groups) {
            this->add_node({key.first.begin, key.second, side::departure});
            this->add_node({key.first.end, key.second, side::arrival});
        }
        this->add_groups();
        this->add_links();
    }

    throughput_bound solve()
    {
        flow_network network(this->nodes.size() + 2);
        const std::size_t source = this->nodes.size();
        const std::size_t sink = source + 1;
        for (const auto& [where, node] : this->nodes) {
            if (std::get<layer_index>(where) == layer_index{0}) {
                network.add_edge(source, node, unlimited);
            }
            if (std::get<layer_index>(where) == this->wanted.layer_count) {
                network.add_edge(node, sink, unlimited);
            }
        }
        for (const limited_edge& each : this->edges) {
            network.add_edge(each.from, each.to, each.limit.tokens_per_second);
        }
        throughput_bound result{.tokens_per_second = network.saturate(source, sink), .cut = {}};
        const std::vector<bool> reached = network.reachable_from(source);
        for (const limited_edge& each : this->edges) {
            if (reached[each.from] && !reached[each.to]) {
                result.cut.push_back(each.limit);
            }
        }
        return result;
    }

private:
    void add_node(const network_node& where) { this->nodes.emplace(where, this->nodes.size()); }

    void add_groups()
    {
        for (const auto& [key, rate] : this->groups) {
            const auto& [layers, where] = key;
            this->edges.push_back({this->nodes.at({layers.begin, where, side::departure}),
                                   this->nodes.at({layers.end, where, side::arrival}),
                                   {layers, where, where, rate.targets, rate.tokens_per_second}});
        }
    }

    // Callers may enter and tokens may leave in any data centre, so only activations between stages use
    // links.
    void add_links()
    {
        for (const auto& [from, from_node] : this->nodes) {
            const auto& [boundary, origin, arriving] = from;
            for (const auto& [to, to_node] : this->nodes) {
                const auto& [next, destination, departing] = to;
                if (arriving == side::arrival && departing == side::departure && next == boundary) {
                    this->edges.push_back({from_node,
                                           to_node,
                                           {{boundary, boundary},
                                            origin,
                                            destination,
                                            0,
                                            this->rate_between(origin, destination)}});
                }
            }
        }
    }

    [[nodiscard]] double rate_between(const data_centre_id& from, const data_centre_id& to) const
    {
        return from == to ? unlimited
                          : tokens_per_second_of(link_between(this->declared, from, to), this->wanted);
    }

    const declarations& declared;
    const model& wanted;
    std::map<group_key, group_rate> groups;
    std::map<network_node, std::size_t> nodes;
    std::vector<limited_edge> edges;
};

} // namespace

double tokens_per_second_of(const link& path, const model& carried)
{
    constexpr double bytes_per_megabyte = 1e6;
    return path.megabytes_per_second * bytes_per_megabyte /
           static_cast<double>(carried.activation_bytes.value);
}

throughput_bound find_throughput_bound(const declarations& declared, const model_id& name,
                                       const std::set<target_id>& lost)
{
    const auto wanted = declared.models.find(name);
    return wanted == declared.models.end() ? throughput_bound{}
                                           : bound_network(declared, wanted->second, lost).solve();
}

} // namespace dandelionstep
