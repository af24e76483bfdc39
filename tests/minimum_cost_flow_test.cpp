/// @file
/// Minimum-cost flows on networks that are small enough to solve by hand.
#include "failover/minimum_cost_flow.h"

#include <gtest/gtest.h>

namespace rainhook::failover {
namespace {

TEST(FlowNetwork, UsesTheNextRouteWhenTheCheapestIsFull) {
  FlowNetwork network;
  const auto origin = network.addNode();
  const auto near = network.addNode();
  const auto far = network.addNode();
  network.addEdge(network.source(), origin, 50, 0);
  network.addEdge(near, network.sink(), 30, 0);
  network.addEdge(far, network.sink(), 30, 0);
  const auto toNear = network.addEdge(origin, near, 50, 1);
  const auto toFar = network.addEdge(origin, far, 50, 10);
  network.solve();
  EXPECT_EQ(network.flow(toNear), 30);
  EXPECT_EQ(network.flow(toFar), 20);
}

TEST(FlowNetwork, GivesASharedTargetToTheOriginWithoutAlternativeWhenTwoOriginsCompete) {
  FlowNetwork network;
  const auto flexible = network.addNode();
  const auto bound = network.addNode();
  const auto shared = network.addNode();
  const auto other = network.addNode();
  network.addEdge(network.source(), flexible, 10, 0);
  network.addEdge(network.source(), bound, 10, 0);
  network.addEdge(shared, network.sink(), 10, 0);
  network.addEdge(other, network.sink(), 10, 0);
  const auto flexibleToShared = network.addEdge(flexible, shared, 10, 1);
  const auto flexibleToOther = network.addEdge(flexible, other, 10, 4);
  const auto boundToShared = network.addEdge(bound, shared, 10, 8);
  network.solve();
  EXPECT_EQ(network.flow(flexibleToShared), 0);
  EXPECT_EQ(network.flow(flexibleToOther), 10);
  EXPECT_EQ(network.flow(boundToShared), 10);
}

TEST(FlowNetwork, RoundsACapacityDownWhenItIsNotAMultipleOfTheResolution) {
  FlowNetwork network;
  const auto node = network.addNode();
  network.addEdge(network.source(), node, 1000, 0);
  const auto edge = network.addEdge(node, network.sink(), 2.99 * flowResolution, 0);
  network.solve();
  EXPECT_EQ(network.flow(edge), 2 * flowResolution);
}

TEST(FlowNetwork, TreatsACapacityAsZeroWhenItIsNegative) {
  FlowNetwork network;
  const auto node = network.addNode();
  network.addEdge(network.source(), node, 1000, 0);
  const auto edge = network.addEdge(node, network.sink(), -5, 0);
  network.solve();
  EXPECT_EQ(network.flow(edge), 0);
}

}  // namespace
}  // namespace rainhook::failover
