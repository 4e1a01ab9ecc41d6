#pragma once

#include <cstddef>
#include <vector>

namespace dandelionstep {

//! A directed flow network over nodes 0 to n - 1.
class flow_network {
public:
    explicit flow_network(std::size_t nodes) : outgoing(nodes) {}

    //! Adds an edge and returns its index.
    std::size_t add_edge(std::size_t from, std::size_t to, double capacity);
    //! Sends the maximum flow from source to sink and returns its amount. O(V * E^2).
    double saturate(std::size_t source, std::size_t sink);
    //! The nodes that the source reaches over edges with residual capacity. After saturate(), the edges that
    //! lead out of this set are a minimum cut.
    [[nodiscard]] std::vector<bool> reachable_from(std::size_t source) const;

private:
    // Edge i and its reverse i ^ 1 are stored side by side.
    struct edge {
        std::size_t to;
        double residual;
    };

    [[nodiscard]] std::vector<std::size_t> find_path(std::size_t source, std::size_t sink) const;

    std::vector<edge> edges;
    std::vector<std::vector<std::size_t>> outgoing;
};

} // namespace dandelionstep
