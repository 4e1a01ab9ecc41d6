#include "route/max_flow.hpp"

#include <algorithm>
#include <limits>
#include <queue>

namespace dandelionstep {
namespace {

// Rates are sums of doubles; a residual capacity below this is a rounding error.
constexpr double min_residual = 1e-9;
constexpr std::size_t no_edge = std::numeric_limits<std::size_t>::max();

} // namespace

std::size_t flow_network::add_edge(std::size_t from, std::size_t to, double capacity)
{
    const std::size_t index = this->edges.size();
    this->edges.push_back({to, capacity});
    this->edges.push_back({from, 0});
    this->outgoing[from].push_back(index);
    this->outgoing[to].push_back(index + 1);
    return index;
}

// Edmonds-Karp algorithm: with shortest augmenting paths, the number of iterations does not depend on the
// capacities.
double flow_network::saturate(std::size_t source, std::size_t sink)
{
    double total = 0;
    for (auto path = this->find_path(source, sink); !path.empty(); path = this->find_path(source, sink)) {
        double amount = std::numeric_limits<double>::infinity();
        for (const std::size_t step : path) {
            amount = std::min(amount, this->edges[step].residual);
        }
        for (const std::size_t step : path) {
            this->edges[step].residual -= amount;
            this->edges[step ^ 1U].residual += amount;
        }
        total += amount;
    }
    return total;
}

std::vector<std::size_t> flow_network::find_path(std::size_t source, std::size_t sink) const
{
    std::vector<std::size_t> reached_by(this->outgoing.size(), no_edge);
    std::queue<std::size_t> open({source});
    while (!open.empty() && reached_by[sink] == no_edge) {
        const std::size_t node = open.front();
        open.pop();
        for (const std::size_t step : this->outgoing[node]) {
            const edge& next = this->edges[step];
            if (next.residual > min_residual && next.to != source && reached_by[next.to] == no_edge) {
                reached_by[next.to] = step;
                open.push(next.to);
            }
        }
    }
    std::vector<std::size_t> path;
    for (std::size_t node = sink; reached_by[node] != no_edge; node = this->edges[reached_by[node] ^ 1U].to) {
        path.push_back(reached_by[node]);
    }
    return path;
}

std::vector<bool> flow_network::reachable_from(std::size_t source) const
{
    std::vector<bool> reached(this->outgoing.size(), false);
    std::queue<std::size_t> open({source});
    reached[source] = true;
    while (!open.empty()) {
        const std::size_t node = open.front();
        open.pop();
        for (const std::size_t step : this->outgoing[node]) {
            const edge& next = this->edges[step];
            if (next.residual > min_residual && !reached[next.to]) {
                reached[next.to] = true;
                open.push(next.to);
            }
        }
    }
    return reached;
}

} // namespace dandelionstep
