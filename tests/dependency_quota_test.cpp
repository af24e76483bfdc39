/// @file
/// Tests that the quota shares of all members stay within the configured total, even if their views differ.
#include "membership/dependency_quota.h"

#include <gtest/gtest.h>

#include "simulated_fleet.h"

namespace rainhook::membership {
namespace {

using namespace std::chrono_literals;

constexpr int configuredServers = 4;  // number of servers that the configured quota per server assumes

DependencyQuota newQuota() { return DependencyQuota({configuredServers, 30s, 5s}); }

/// Updates the quota every 100 ms for the given duration; returns the last share.
double shareAfter(DependencyQuota& quota, Duration& now, Duration duration, const FleetView& view) {
  double out = 0;
  for (const Duration end = now + duration; now < end; now += 100ms) out = quota.update(now, view);
  return out;
}

/// Guards against a fleet that exceeds the configured total after it has grown beyond the configured servers.
TEST(DependencyQuota, ReducesTheShareAtOnceWhenTheFleetExceedsTheConfiguredServers) {
  auto quota = newQuota();
  Duration now = 1s;
  EXPECT_EQ(shareAfter(quota, now, 10s, {4, 4, 4, false}), 1);
  EXPECT_EQ(quota.update(now, {8, 8, 8, false}), 0.5);
  EXPECT_EQ(quota.update(now, {8, 5, 8, true}), 0.5);
}

/// Guards against a total above the limit while members start together: each may know only some of the
/// others, and all of them would divide the total by too few.
TEST(DependencyQuota, WaitsForAllMembersOrForALeaseWhenAMemberJoins) {
  auto quota = newQuota();
  Duration now = 1s;
  EXPECT_EQ(shareAfter(quota, now, 4s, {4, 4, 4, false, 4, 4}), 0);
  EXPECT_EQ(shareAfter(quota, now, 2s, {4, 4, 4, false, 4, 4}), 1);
  auto uncounted = newQuota();
  EXPECT_EQ(shareAfter(uncounted, now, 20s, {4, 4, 4, false, 4, 3}), 0);  // one member still divides by three
  EXPECT_EQ(shareAfter(uncounted, now, 1s, {4, 4, 4, false, 4, 4}), 1);
  auto unknownMembers = newQuota();
  EXPECT_EQ(shareAfter(unknownMembers, now, 20s, {4, 4, 4, false, 6, 4}), 0);  // another member knows of six
  EXPECT_EQ(shareAfter(unknownMembers, now, 1s, {6, 6, 6, false, 6, 6}), 4.0 / 6);
  auto withoutAdvertisement = newQuota();
  // An older release does not advertise a fleet size.
  EXPECT_EQ(shareAfter(withoutAdvertisement, now, 29s, {4, 4, 4, false, 0, 0}), 0);
  EXPECT_EQ(shareAfter(withoutAdvertisement, now, 2s, {4, 4, 4, false, 0, 0}), 1);
}

/// Guards against a share that grows on the minority side of a partition or on an uncertain view, while the
/// other members keep theirs.
TEST(DependencyQuota, IncreasesTheShareOnlyWhenTheViewIsCertainWithAMajority) {
  auto quota = newQuota();
  Duration now = 1s;
  shareAfter(quota, now, 10s, {8, 8, 8, false});
  EXPECT_EQ(shareAfter(quota, now, 20s, {5, 5, 8, true}), 0.5);   // the view is uncertain
  EXPECT_EQ(shareAfter(quota, now, 20s, {4, 4, 8, false}), 0.5);  // half of the fleet is not a majority
  EXPECT_EQ(shareAfter(quota, now, 4s, {5, 5, 5, false}), 0.5);
  EXPECT_EQ(shareAfter(quota, now, 2s, {5, 5, 5, false}), 0.8);
}

/// Guards against calls by a member whose share the others use after they declared it dead.
TEST(DependencyQuota, IsZeroWhenLessThanHalfOfTheFleetWasReachedForALease) {
  auto quota = newQuota();
  Duration now = 1s;
  shareAfter(quota, now, 10s, {8, 8, 8, false});
  EXPECT_EQ(shareAfter(quota, now, 29s, {8, 3, 8, false}), 0.5);
  EXPECT_EQ(shareAfter(quota, now, 3s, {8, 3, 8, false}), 0);
  EXPECT_EQ(shareAfter(quota, now, 4s, {8, 6, 8, false}), 0);  // the others have to count it first
  EXPECT_EQ(shareAfter(quota, now, 2s, {8, 6, 8, false}), 0.5);
}

/// Guards against calls by a process that resumes from a long pause with an outdated view.
TEST(DependencyQuota, IsZeroWhenTheProcessWasPausedForLongerThanALease) {
  auto quota = newQuota();
  Duration now = 1s;
  shareAfter(quota, now, 10s, {8, 8, 8, false});
  now += 300s;
  EXPECT_EQ(quota.update(now, {8, 8, 8, false}), 0);
  EXPECT_EQ(quota.update(now + 100ms, {8, 8, 8, true}), 0);
  now += 200ms;
  EXPECT_EQ(shareAfter(quota, now, 6s, {8, 8, 8, false}), 0.5);
}

/// Updates the quotas of all members once per second and records the extremes of the sum of their shares.
class ShareSums {
 public:
  explicit ShareSums(SimulatedFleet& simulated) : fleet(simulated), quotas(fleet.nodes.size(), newQuota()) {}
  void run(Duration duration) {
    for (const Duration end = fleet.now + duration; fleet.now < end;) {
      fleet.runFor(1s);
      double sum = 0;
      for (std::size_t i = 0; i < fleet.nodes.size(); ++i)
        if (fleet.isRunning(i) && fleet.now >= fleet.nodes[i].pausedUntil) {
          MemberStatus status;
          status.phase = Phase::serving,
          status.advertisedFleetSize = static_cast<double>(quotas[i].fleetSize());
          fleet.nodes[i].member->publishStatus(status);
          lastShares[i] = quotas[i].update(fleet.now, observeFleet(*fleet.nodes[i].member, fleet.now, 30s));
        }
      for (std::size_t i = 0; i < fleet.nodes.size(); ++i) sum += mayCall(i) ? lastShares[i] : 0;
      largestSum = std::max(largestSum, sum);
      smallestSum = std::min(smallestSum, sum);
    }
  }
  /// A process that is paused or not running makes no calls.
  bool mayCall(std::size_t i) const { return fleet.isRunning(i) && fleet.now >= fleet.nodes[i].pausedUntil; }
  double currentSum() const {
    double sum = 0;
    for (const auto& [i, share] : lastShares) sum += mayCall(i) ? share : 0;
    return sum;
  }
  SimulatedFleet& fleet;
  std::vector<DependencyQuota> quotas;
  std::map<std::size_t, double> lastShares;
  double largestSum = 0, smallestSum = 1e9;
};

/// Guards against a sum of shares above the configured total during partitions, deaths, pauses and restarts,
/// in which the members divide by different fleet sizes.
TEST(DependencyQuota, KeepsTheSumWithinTheTotalWhenPartitionsDeathsAndPausesOccur) {
  for (int seed = 1; seed <= 10; ++seed)
    for (const std::size_t parts : {2u, 3u, 5u}) {
      SimulatedFleet fleet(10, 3, static_cast<std::uint64_t>(seed));
      fleet.startAll();
      ASSERT_TRUE(fleet.runUntil(60s, [&] { return fleet.hasConverged(); }));
      ShareSums sums(fleet);
      sums.run(60s);
      sums.largestSum = 0;
      // With five parts, one side has a majority; with two or three parts, no side has one.
      const auto part = [&](std::size_t i) { return parts == 5 ? (i < 7 ? 0 : 1) : i % parts; };
      fleet.link = [&](auto from, auto to) {
        return SimulatedFleet::Link{part(from) == part(to) ? 0.0 : 1.0, {}};
      };
      sums.run(300s);
      EXPECT_NEAR(sums.currentSum(), parts == 3 ? 0 : configuredServers, 1e-9)
          << "a majority uses the whole total, thirds of the fleet use nothing";
      fleet.pause(2, 200s);
      fleet.kill(4);
      fleet.kill(8), fleet.start(8, parts == 5 ? 9 : 2);  // the restarted member knows only its side
      sums.quotas[8] = newQuota();
      sums.run(300s);
      fleet.healAllLinks();
      fleet.start(4);
      sums.quotas[4] = newQuota();
      sums.run(200s);
      EXPECT_LE(sums.largestSum, configuredServers + 1e-9) << parts << " parts, seed " << seed;
      EXPECT_TRUE(fleet.hasConverged());
      EXPECT_NEAR(sums.currentSum(), configuredServers, 1e-9)
          << "the fleet uses the whole total after all faults end";
    }
}

}  // namespace
}  // namespace rainhook::membership
