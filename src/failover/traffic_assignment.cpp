#include "failover/traffic_assignment.h"

#include <algorithm>
#include <utility>

#include "failover/minimum_cost_flow.h"

namespace rainhook::failover {
namespace {

/// In requests per second; exceeds the load of any zone.
constexpr double unlimitedCapacity = 1e9;

/// Returns the part of an origin's load that it cannot serve itself, in requests per second.
double excessLoad(const ZonePlan& plan, const ZoneLoad& load) {
  switch (plan.state) {
    case ZoneState::serving:
      return 0;
    case ZoneState::overloaded:
      return load.localLoad - load.capacity;
    case ZoneState::recovering:
      return load.localLoad - load.capacity * plan.usableRatio;
    case ZoneState::draining:
    case ZoneState::outOfService:
      return load.localLoad;
  }
  return 0;
}

/// The flow network of one assignment: source -> origins -> targets -> sink. Each target has two entry nodes,
/// one for new grants of capacity and one for grants of plans in use. Both lead to the target's own node,
/// which bounds their sum to the target's available capacity.
class AssignmentNetwork {
 public:
  explicit AssignmentNetwork(const AssignmentInputs& inputs) : inputs_(inputs) {}

  void addTargets() {
    for (const auto& [target, load] : inputs_.loads) addTarget(target, load);
  }

  void addOrigins() {
    for (const auto& [origin, load] : inputs_.loads) {
      const double excess = excessLoad(inputs_.zonePlans.at(origin), load);
      if (excess > 0) addOrigin(origin, excess);
    }
  }

  [[nodiscard]] TrafficShares solve() {
    TrafficShares shares;
    if (routes_.empty()) return shares;
    network_.solve();
    for (const Route& route : routes_)
      if (const double flow = network_.flow(route.edge); flow > 0)
        shares[route.origin][route.target] += flow / inputs_.loads.at(route.origin).localLoad;
    return shares;
  }

 private:
  struct TargetEntries {
    FlowNetwork::NodeId newGrants;
    FlowNetwork::NodeId grantsInUse;
  };
  struct Route {
    ZoneName origin;
    ZoneName target;
    FlowNetwork::EdgeId edge;
  };

  void addTarget(const ZoneName& target, const ZoneLoad& load) {
    double granted = 0;
    for (const auto& [origin, originLoad] : inputs_.loads) granted += grantInUse(origin, target);
    const double available =
        availableCapacity(inputs_.settings, inputs_.observation, target, load, inputs_.zonePlans.at(target));
    if (available <= 0) return;
    const auto node = network_.addNode();
    const auto newGrants = network_.addNode();
    const auto grantsInUse = network_.addNode();
    network_.addEdge(node, network_.sink(), available, 0);
    network_.addEdge(newGrants, node, load.isSaturated ? 0 : available - granted, 0);
    network_.addEdge(grantsInUse, node, unlimitedCapacity, 0);
    targets_.emplace(target, TargetEntries{newGrants, grantsInUse});
  }

  void addOrigin(const ZoneName& origin, double excess) {
    const auto node = network_.addNode();
    network_.addEdge(network_.source(), node, excess, 0);
    for (const auto& [target, entries] : targets_) {
      if (target == origin || inputs_.observation.unreachablePairs.contains({origin, target})) continue;
      const double cost = inputs_.settings.costBetween(origin, target);
      routes_.push_back({origin, target, network_.addEdge(node, entries.newGrants, excess, cost)});
      if (const double granted = grantInUse(origin, target); granted > 0)
        routes_.push_back({origin, target, network_.addEdge(node, entries.grantsInUse, granted, cost)});
    }
  }

  /// Returns the highest rate that any plan in use lets the origin send to the target, in requests per
  /// second.
  [[nodiscard]] double grantInUse(const ZoneName& origin, const ZoneName& target) const {
    if (origin == target) return 0;
    const double localLoad = inputs_.loads.at(origin).localLoad;
    double granted = 0;
    for (const FailoverPlan& plan : inputs_.plansInUse)
      granted = std::max(granted, plan.share(origin, target) * localLoad);
    return granted;
  }

  const AssignmentInputs& inputs_;
  FlowNetwork network_;
  std::map<ZoneName, TargetEntries> targets_;
  std::vector<Route> routes_;
};

}  // namespace

TrafficShares assignTraffic(const AssignmentInputs& inputs) {
  AssignmentNetwork network(inputs);
  network.addTargets();
  network.addOrigins();
  return network.solve();
}

}  // namespace rainhook::failover
