// The share of the dependency: the sum over the fleet stays within what is stated, whatever the views are.
#include "membership/dependency_quota.h"

#include <gtest/gtest.h>

#include "simulated_fleet.h"

namespace rainhook::membership {
namespace {

using namespace std::chrono_literals;

constexpr int stated = 4;  // servers for which the parts are stated

DependencyQuota share() { return DependencyQuota({stated, 30s, 5s}); }

// Looks ten times a second for so long, and gives the last.
double after(DependencyQuota& share, Duration& now, Duration by, const FleetView& seen) {
  double out = 0;
  for (const Duration end = now + by; now < end; now += 100ms) out = share.update(now, seen);
  return out;
}

TEST(DependencyQuota, IsThePartStatedUpToTheServersStatedAndLessAtOnceBeyond) {
  auto s = share();
  Duration now = 1s;
  EXPECT_EQ(after(s, now, 10s, {4, 4, 4, false}), 1);
  EXPECT_EQ(s.update(now, {8, 8, 8, false}), 0.5);
  EXPECT_EQ(s.update(now, {8, 5, 8, true}), 0.5);
}

// Of six that start together it has met three so far; nobody may count on that.
TEST(DependencyQuota, OfANewcomerWaitsUntilAllHaveCountedItOrALeaseIsOver) {
  auto s = share();
  Duration now = 1s;
  EXPECT_EQ(after(s, now, 4s, {4, 4, 4, false, 4, 4}), 0);
  EXPECT_EQ(after(s, now, 2s, {4, 4, 4, false, 4, 4}), 1);
  auto uncounted = share();
  EXPECT_EQ(after(uncounted, now, 20s, {4, 4, 4, false, 4, 3}), 0);  // one divides by three still
  EXPECT_EQ(after(uncounted, now, 1s, {4, 4, 4, false, 4, 4}), 1);
  auto unmet = share();
  EXPECT_EQ(after(unmet, now, 20s, {4, 4, 4, false, 6, 4}), 0);  // another knows of six
  EXPECT_EQ(after(unmet, now, 1s, {6, 6, 6, false, 6, 6}), 4.0 / 6);
  auto silent = share();
  EXPECT_EQ(after(silent, now, 29s, {4, 4, 4, false, 0, 0}), 0);  // an older release does not say
  EXPECT_EQ(after(silent, now, 2s, {4, 4, 4, false, 0, 0}), 1);
}

TEST(DependencyQuota, GrowsOnlyOnceItIsSureForAWhileAndWithMost) {
  auto s = share();
  Duration now = 1s;
  after(s, now, 10s, {8, 8, 8, false});
  EXPECT_EQ(after(s, now, 20s, {5, 5, 8, true}), 0.5);   // in doubt
  EXPECT_EQ(after(s, now, 20s, {4, 4, 8, false}), 0.5);  // half is not most
  EXPECT_EQ(after(s, now, 4s, {5, 5, 5, false}), 0.5);
  EXPECT_EQ(after(s, now, 2s, {5, 5, 5, false}), 0.8);
}

TEST(DependencyQuota, IsNothingForOneWhoLostMostForALeaseUntilItIsBack) {
  auto s = share();
  Duration now = 1s;
  after(s, now, 10s, {8, 8, 8, false});
  EXPECT_EQ(after(s, now, 29s, {8, 3, 8, false}), 0.5);
  EXPECT_EQ(after(s, now, 3s, {8, 3, 8, false}), 0);
  EXPECT_EQ(after(s, now, 4s, {8, 6, 8, false}), 0);  // the others are to count it first
  EXPECT_EQ(after(s, now, 2s, {8, 6, 8, false}), 0.5);
}

TEST(DependencyQuota, IsNothingAfterALongStopWhateverItBelieves) {
  auto s = share();
  Duration now = 1s;
  after(s, now, 10s, {8, 8, 8, false});
  now += 300s;
  EXPECT_EQ(s.update(now, {8, 8, 8, false}), 0);
  EXPECT_EQ(s.update(now + 100ms, {8, 8, 8, true}), 0);
  now += 200ms;
  EXPECT_EQ(after(s, now, 6s, {8, 8, 8, false}), 0.5);
}

// All members look once a second; the sum of what they may use is never over what is stated for `stated`
// servers.
class Sums {
 public:
  explicit Sums(SimulatedFleet& world) : fleet(world), shares(fleet.nodes.size(), share()) {}
  void run(Duration by) {
    for (const Duration end = fleet.now + by; fleet.now < end;) {
      fleet.runFor(1s);
      double sum = 0;
      for (std::size_t i = 0; i < fleet.nodes.size(); ++i)
        if (fleet.isRunning(i) && fleet.now >= fleet.nodes[i].pausedUntil) {
          MemberStatus status;
          status.phase = Phase::serving,
          status.advertisedFleetSize = static_cast<double>(shares[i].fleetSize());
          fleet.nodes[i].member->publishStatus(status);
          last[i] = shares[i].update(fleet.now, observeFleet(*fleet.nodes[i].member, fleet.now, 30s));
        }
      for (std::size_t i = 0; i < fleet.nodes.size(); ++i) sum += calls(i) ? last[i] : 0;
      most = std::max(most, sum);
      least = std::min(least, sum);
    }
  }
  // Whoever is stopped calls nobody.
  bool calls(std::size_t i) const { return fleet.isRunning(i) && fleet.now >= fleet.nodes[i].pausedUntil; }
  double now() const {
    double sum = 0;
    for (const auto& [i, is] : last) sum += calls(i) ? is : 0;
    return sum;
  }
  SimulatedFleet& fleet;
  std::vector<DependencyQuota> shares;
  std::map<std::size_t, double> last;
  double most = 0, least = 1e9;
};

TEST(DependencyQuota, TheSumHoldsThroughSplitsDeathsAndStops) {
  for (int seed = 1; seed <= 10; ++seed)
    for (const std::size_t parts : {2u, 3u, 5u}) {
      SimulatedFleet fleet(10, 3, static_cast<std::uint64_t>(seed));
      fleet.startAll();
      ASSERT_TRUE(fleet.runUntil(60s, [&] { return fleet.hasConverged(); }));
      Sums sums(fleet);
      sums.run(60s);
      sums.most = 0;
      // Of five parts the first has most; of two and three none has.
      const auto part = [&](std::size_t i) { return parts == 5 ? (i < 7 ? 0 : 1) : i % parts; };
      fleet.link = [&](auto from, auto to) {
        return SimulatedFleet::Link{part(from) == part(to) ? 0.0 : 1.0, {}};
      };
      sums.run(300s);
      EXPECT_NEAR(sums.now(), parts == 3 ? 0 : stated, 1e-9)
          << "a side with most has it all, thirds have nothing";
      fleet.pause(2, 200s);
      fleet.kill(4);
      fleet.kill(8), fleet.start(8, parts == 5 ? 9 : 2);  // it knows its side alone
      sums.shares[8] = share();
      sums.run(300s);
      fleet.healAllLinks();
      fleet.start(4);
      sums.shares[4] = share();
      sums.run(200s);
      EXPECT_LE(sums.most, stated + 1e-9) << parts << " parts, seed " << seed;
      EXPECT_TRUE(fleet.hasConverged());
      EXPECT_NEAR(sums.now(), stated, 1e-9) << "after all is well, all of it is used";
    }
}

}  // namespace
}  // namespace rainhook::membership
