// The plan: rooms are kept, near comes first, steps are bounded, and what is steady stays.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <numeric>

#include "failover/failover_planner.h"

namespace rainhook::failover {
namespace {

using namespace std::chrono_literals;

const ZoneName a{"a"}, b{"b"}, c{"c"}, far{"far"};

PlanTerms terms() {
  PlanTerms out;
  out.zones = {{a, {"r"}}, {b, {"r"}}, {c, {"r"}}, {far, {"s"}}};
  return out;
}

// A zone's figures at a load below what it can do, reqs of 50 ms.
ZoneFigures figures(double read, double can) {
  ZoneFigures out;
  out.members = 3, out.read = read, out.done = std::min(read, can);
  out.running = out.done * 0.05, out.limit = can * 0.05;
  out.heldBack = read > can ? 1 : 0;
  return out;
}

// A fleet that does as the plan says: what is handed on is read there, and lands on what it can do.
struct Playing {
  Planner planner{terms()};
  std::map<ZoneName, double> own{{a, 60}, {b, 60}, {c, 60}, {far, 60}},
      can{{a, 100}, {b, 100}, {c, 100}, {far, 100}};
  std::set<ZoneName> gone;
  Orders orders;
  Plan plan;
  std::vector<Plan> earlier;  // of the last look: may still be in use
  Span now{};
  std::map<ZoneName, double> most;  // load over what it can do, at most, where anything was handed on
  std::size_t versions = 0;

  double given(const ZoneName& to) const {
    double out = 0;
    for (const auto& [from, rate] : own)
      if (from != to && !gone.contains(from)) out += plan.share(from, to) * rate;
    return out;
  }
  Seen seen() const {
    Seen out;
    for (const auto& [zone, rate] : own)
      if (!gone.contains(zone)) out.zones[zone] = figures(rate + given(zone), can.at(zone));
    return out;
  }
  void run(Span span) {
    for (const Span end = now + span; now < end; now += 1s) {
      const Plan before = plan;
      plan = planner.next(now, seen(), orders, plan, earlier);
      versions += plan.version != before.version;
      earlier = {before};
      for (const auto& [zone, rate] : own)
        if (given(zone) > 0)
          most[zone] = std::max(most[zone], (rate * plan.share(zone, zone) + given(zone)) / can.at(zone));
    }
  }
};

TEST(FailoverPlan, NothingCrossesInTheCalmAndASteadyFleetHasASteadyPlan) {
  Playing w;
  w.run(60s);
  EXPECT_TRUE(w.plan.shares.empty());
  const auto versions = w.versions;
  w.run(600s);
  EXPECT_EQ(w.versions, versions);
  for (const auto& [zone, plan] : w.plan.zones) EXPECT_EQ(plan.state, ZoneState::inService);
}

TEST(FailoverPlan, ADrainedZonesTrafficMovesNearestFirstAndComesBackInSteps) {
  Playing w;
  w.run(30s);
  w.orders.drained = {a};
  w.run(60s);
  EXPECT_EQ(w.plan.zones.at(a).state, ZoneState::leaving);
  EXPECT_NEAR(w.plan.share(a, a), 0, 0.05);
  EXPECT_GT(w.plan.share(a, b) + w.plan.share(a, c), 0.9);  // 60 a second fit into twice 35 of its region
  EXPECT_LT(w.plan.share(a, far), 0.05);
  for (const auto& [zone, load] : w.most) EXPECT_LE(load, 1.0) << zone.text;
  w.orders.drained.clear();
  double before = 0;
  while (w.plan.zones.at(a).state != ZoneState::inService && w.now < 600s) {
    w.run(1s);
    EXPECT_LE(w.plan.share(a, a), before + 2 * w.planner.terms().step + 0.05);
    before = w.plan.share(a, a);
  }
  w.run(10s);
  EXPECT_TRUE(w.plan.shares.empty());
}

TEST(FailoverPlan, WithoutRoomNothingMoves) {
  Playing w;
  for (auto& [zone, rate] : w.own) rate = 98;
  w.run(30s);
  w.orders.drained = {a};
  w.run(60s);
  EXPECT_GT(w.plan.share(a, a), 0.9);  // shed near is better than a storm elsewhere
  for (const auto& [zone, load] : w.most) EXPECT_LE(load, 1.0) << zone.text;
}

TEST(FailoverPlan, OfAnOverloadOnlyWhatIsBeyondTheZoneMoves) {
  Playing w;
  w.run(30s);
  w.own[a] = 130;
  w.run(60s);
  EXPECT_EQ(w.plan.zones.at(a).state, ZoneState::strained);
  EXPECT_GT(w.plan.share(a, a), 0.7);
  EXPECT_GT(w.plan.share(a, b) + w.plan.share(a, c), 0.15);
  for (const auto& zone : {b, c, far}) EXPECT_LE(w.most[zone], 1.0) << zone.text;
}

// It says room that it does not have: what it is given shows there, and is taken back.
TEST(FailoverPlan, AZoneThatLiesIsFoundByWhatItDoes) {
  Playing w;
  w.run(30s);
  w.can[b] = 62;  // its figures say as much as ever until it gets more
  Seen lies = w.seen();
  w.orders.drained = {a};
  for (int look = 0; look < 40; ++look) {
    Seen seen = w.seen();
    if (w.given(b) + w.own[b] <= w.can[b]) seen.zones[b] = lies.zones[b];
    const Plan before = w.plan;
    w.plan = w.planner.next(w.now += 1s, seen, w.orders, w.plan, w.earlier);
    w.earlier = {before};
  }
  EXPECT_LE(w.given(b) + w.own[b], w.can[b] * 1.05);
}

TEST(FailoverPlan, ALostZoneIsOutAndEachReturnThatFailsDoublesTheWait) {
  Playing w;
  w.run(30s);
  std::vector<double> waits;
  for (int time = 0; time < 5; ++time) {
    w.gone = {a};
    w.run(3s);
    EXPECT_EQ(w.plan.zones.at(a).state, ZoneState::out);
    w.gone.clear();
    const Span back = w.now;
    while (w.plan.zones.at(a).state == ZoneState::out && w.now < back + 1000s) w.run(1s);
    waits.push_back(std::chrono::duration<double>(w.now - back).count());
  }
  for (std::size_t i = 1; i < waits.size(); ++i) EXPECT_GE(waits[i], 1.5 * waits[i - 1]) << i;
}

TEST(FailoverPlan, AGrayZoneLeavesAndAnOverloadedOneDoesNot) {
  Playing w;
  w.run(30s);
  const auto slow = [&](const ZoneName& zone) {
    Seen seen = w.seen();
    seen.zones[zone].running *= 5;  // each req takes five times as long
    return seen;
  };
  for (int look = 0; look < 60; ++look) w.plan = w.planner.next(w.now += 1s, slow(c), w.orders, w.plan, {});
  EXPECT_EQ(w.plan.zones.at(c).state, ZoneState::leaving) << w.plan.zones.at(c).why;
  Playing busy;
  busy.run(30s);
  busy.own[c] = 140;
  busy.run(60s);
  EXPECT_EQ(busy.plan.zones.at(c).state, ZoneState::strained);
}

TEST(FailoverPlan, HeldIsHeldAndACutWayIsNotUsed) {
  Playing w;
  w.run(30s);
  w.orders = {{a}, true};
  const Plan held = w.plan;
  w.run(10s);
  EXPECT_EQ(w.plan, held);
  w.orders.held = false;
  for (int look = 0; look < 30; ++look) {
    Seen seen = w.seen();
    seen.cut = {{a, b}};
    w.plan = w.planner.next(w.now += 1s, seen, w.orders, w.plan, {});
  }
  EXPECT_EQ(w.plan.share(a, b), 0);
  EXPECT_GT(w.plan.share(a, c), 0);
}

// An older plan that some may still follow holds its room until it is out of use.
TEST(FailoverPlan, WhatAnOlderPlanGrantedIsCountedWhileItMayBeInUse) {
  Playing w;
  w.run(30s);
  Plan older = w.plan;
  older.shares[a][b] = 0.5;  // 30 of the 35 a second that b has room for
  w.orders.drained = {c};
  const Plan beside = Planner(w.planner).next(w.now += 1s, w.seen(), w.orders, w.plan, {older});
  const Plan alone = Planner(w.planner).next(w.now, w.seen(), w.orders, w.plan, {});
  EXPECT_LE(beside.share(c, b) * w.own[c], 5 + 1);
  EXPECT_GT(beside.share(c, a), 0.4);
  EXPECT_GT(alone.share(c, a) + alone.share(c, b), 0.8);
  EXPECT_LT(beside.share(c, a) + beside.share(c, b), 0.8);
}

// Whatever the figures: rooms are kept with grants that may still be in use, shares are shares, and the same
// figures again give the same plan.
RC_GTEST_PROP(FailoverPlan, KeepsRoomsWhateverTheFigures, ()) {
  const std::vector<ZoneName> zones{a, b, c, far};
  Planner planner(terms());
  Plan plan;
  std::vector<Plan> earlier;
  Orders orders;
  Span now{};
  for (int look = 0; look < 12; ++look, now += 3s) {
    Seen seen;
    for (const auto& zone : zones) {
      if (*rc::gen::inRange(0, 10) == 0) continue;
      auto& of = seen.zones[zone] = figures(*rc::gen::inRange(0, 200), *rc::gen::inRange(1, 150));
      of.age = std::chrono::milliseconds(*rc::gen::inRange(0, 12000));
      of.silent = *rc::gen::inRange(0, 20) == 0;
    }
    if (*rc::gen::inRange(0, 4) == 0) orders.drained = {zones[*rc::gen::inRange<std::size_t>(0, 4)]};
    const Plan next = planner.next(now, seen, orders, plan, earlier);
    RC_ASSERT(next.version == plan.version ||
              next.version == PlanVersion{static_cast<std::uint64_t>(plan.version) + 1});
    RC_ASSERT(next.version != plan.version || next == plan);
    for (const auto& [origin, to] : next.shares) {
      double sum = 0;
      for (const auto& [target, share] : to) {
        RC_ASSERT(share >= 0 && origin != target);
        const auto state = next.zones.at(target).state;
        RC_ASSERT(state != ZoneState::out && state != ZoneState::leaving);
        sum += share;
      }
      RC_ASSERT(sum <= 1 + 1e-9);
      RC_ASSERT(next.zones.at(origin).state != ZoneState::inService);
    }
    // What is granted anew fits beside all that may be in use.
    for (const auto& target : zones) {
      const auto it = seen.zones.find(target);
      if (it == seen.zones.end()) continue;
      double grown = 0;
      for (const auto& [origin, of] : seen.zones) {
        double before = plan.share(origin, target);
        for (const auto& old : earlier) before = std::max(before, old.share(origin, target));
        if (origin != target) grown += std::max(0.0, next.share(origin, target) - before) * of.read;
      }
      const double can = it->second.heldBack > 0
                             ? 0
                             : std::max({it->second.done, next.zones.at(target).proven,
                                         plan.zones.contains(target) ? plan.zones.at(target).proven : 0.0}) *
                                   1.5;
      RC_ASSERT(grown <= can + 1);
    }
    earlier = {plan};
    plan = next;
  }
}

}  // namespace
}  // namespace rainhook::failover
