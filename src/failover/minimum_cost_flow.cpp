#include "failover/minimum_cost_flow.h"

#include <algorithm>
#include <boost/graph/successive_shortest_path_nonnegative_weights.hpp>
#include <cmath>

namespace rainhook::failover {
namespace {

/// Prevents rounding errors from lowering a capacity that is a whole multiple of the resolution.
constexpr double roundingTolerance = 1e-9;

std::size_t indexOf(FlowNetwork::NodeId node) { return static_cast<std::size_t>(node); }

}  // namespace

FlowNetwork::FlowNetwork() : source_(addNode()), sink_(addNode()) {}

FlowNetwork::NodeId FlowNetwork::addNode() { return NodeId{boost::add_vertex(graph_)}; }

FlowNetwork::EdgeId FlowNetwork::addEdge(NodeId from, NodeId to, double capacity, double cost) {
  const double units = std::floor(std::max(capacity, 0.0) / flowResolution + roundingTolerance);
  const auto forward = boost::add_edge(indexOf(from), indexOf(to), graph_).first;
  const auto backward = boost::add_edge(indexOf(to), indexOf(from), graph_).first;
  boost::put(boost::edge_capacity, graph_, forward, static_cast<long>(units));
  boost::put(boost::edge_capacity, graph_, backward, 0L);
  // Weights are doubles, since Boost adds to the maximum value of their type for unreachable nodes, which
  // would overflow an integer.
  boost::put(boost::edge_weight, graph_, forward, cost);
  boost::put(boost::edge_weight, graph_, backward, -cost);
  boost::put(boost::edge_reverse, graph_, forward, backward);
  boost::put(boost::edge_reverse, graph_, backward, forward);
  edges_.push_back(forward);
  return EdgeId{edges_.size() - 1};
}

void FlowNetwork::solve() {
  boost::successive_shortest_path_nonnegative_weights(graph_, indexOf(source_), indexOf(sink_));
}

double FlowNetwork::flow(EdgeId edge) const {
  const auto descriptor = edges_[static_cast<std::size_t>(edge)];
  const long capacity = boost::get(boost::edge_capacity, graph_, descriptor);
  const long residual = boost::get(boost::edge_residual_capacity, graph_, descriptor);
  return static_cast<double>(capacity - residual) * flowResolution;
}

}  // namespace rainhook::failover
