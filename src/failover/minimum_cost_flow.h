/// @file
/// Minimum-cost maximum flow, by successive shortest paths with potentials (Edmonds and Karp, JACM 19(2),
/// 1972) as implemented by Boost.Graph.
#pragma once

#include <boost/graph/adjacency_list.hpp>
#include <cstddef>
#include <vector>

namespace rainhook::failover {

/// Flows are whole multiples of this many requests per second.
inline constexpr double flowResolution = 1.0 / 64;

/// A network with one source and one sink, whose flow is computed once. Networks that are built in the same
/// order have the same flow. Not thread-safe.
class FlowNetwork {
 public:
  /// Index of a node, in the order of addition.
  enum class NodeId : std::size_t {};
  /// Index of an edge, in the order of addition.
  enum class EdgeId : std::size_t {};

  FlowNetwork();

  [[nodiscard]] NodeId source() const { return source_; }  ///< the node at which all flow starts
  [[nodiscard]] NodeId sink() const { return sink_; }      ///< the node at which all flow ends

  NodeId addNode();  ///< adds a node without edges
  /// Adds a directed edge. The capacity, in requests per second, is rounded down to the resolution; a
  /// negative capacity counts as 0. The cost of one unit of flow must not be negative.
  EdgeId addEdge(NodeId from, NodeId to, double capacity, double cost);

  /// Computes the maximum flow from source to sink with the minimum cost. Throws boost::negative_edge if sums
  /// of costs are not exact in binary (for example tenths) and rounding makes the reduced cost of an edge
  /// negative.
  void solve();
  /// Returns the flow on an edge after solve(), in requests per second.
  [[nodiscard]] double flow(EdgeId edge) const;

 private:
  using Traits = boost::adjacency_list_traits<boost::vecS, boost::vecS, boost::directedS>;
  using WeightProperty = boost::property<boost::edge_weight_t, double>;
  using ReverseProperty = boost::property<boost::edge_reverse_t, Traits::edge_descriptor, WeightProperty>;
  using ResidualProperty = boost::property<boost::edge_residual_capacity_t, long, ReverseProperty>;
  using CapacityProperty = boost::property<boost::edge_capacity_t, long, ResidualProperty>;
  using Graph =
      boost::adjacency_list<boost::vecS, boost::vecS, boost::directedS, boost::no_property, CapacityProperty>;

  Graph graph_;
  NodeId source_;
  NodeId sink_;
  std::vector<Traits::edge_descriptor> edges_;
};

}  // namespace rainhook::failover
