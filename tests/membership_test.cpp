/// @file
/// Tests of the membership protocol in simulated time with link faults, pauses and killed processes.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <msgpack.hpp>
#include <tuple>

#include "membership/zone_aggregate.h"
#include "simulated_fleet.h"

namespace rainhook::membership {
namespace {

using namespace std::chrono_literals;

constexpr int seeds = 10;

/// Starts a fleet and runs it until all members see each other as alive.
SimulatedFleet convergedFleet(std::size_t count, std::size_t zones, int seed,
                              ProtocolSettings settings = {}) {
  SimulatedFleet fleet(count, zones, static_cast<std::uint64_t>(seed), settings);
  fleet.startAll();
  EXPECT_TRUE(fleet.runUntil(60s, [&] { return fleet.hasConverged(); })) << "seed " << seed;
  return fleet;
}

/// Guards against undetected deaths, and against false declarations caused by a death elsewhere in the fleet.
TEST(Membership, DeclaresOnlyTheKilledMemberDeadWhenOneIsKilled) {
  for (int seed = 1; seed <= seeds; ++seed)
    for (const std::size_t count : {3u, 5u, 9u, 50u}) {
      SimulatedFleet fleet = convergedFleet(count, 3, seed);
      fleet.kill(1);
      EXPECT_TRUE(fleet.runUntil(60s, [&] { return fleet.hasConverged(); }))
          << count << " members, seed " << seed;
      EXPECT_EQ(fleet.deathsDeclared(), fleet.deathsDeclaredOf(1));
      EXPECT_EQ(fleet.findInvariantViolation(), "");
    }
}

/// Guards against a declaration without a second accuser: the last member of two cannot distinguish a dead
/// member from a broken link.
TEST(Membership, DeclaresNoDeathWhenOneOfTwoMembersIsKilled) {
  SimulatedFleet fleet = convergedFleet(2, 2, 1);
  fleet.kill(1);
  fleet.runFor(300s);
  EXPECT_EQ(fleet.stateSeen(0, 1), MemberState::suspect);  // the failure may be a broken link
  EXPECT_TRUE(fleet.nodes[0].member->isViewUncertain(fleet.now));
}

/// Guards against one event per member when all members of a zone fail together, and against a dead zone
/// whose members stay suspect.
TEST(Membership, ReportsOneZoneEventWhenAZoneIsKilled) {
  for (int seed = 1; seed <= seeds; ++seed) {
    SimulatedFleet fleet = convergedFleet(12, 3, seed);
    const Duration killed = fleet.now;
    for (std::size_t i = 0; i < 12; i += 3) fleet.kill(i);
    EXPECT_TRUE(fleet.runUntil(180s, [&] { return fleet.hasConverged(); })) << "seed " << seed;
    for (const auto& node : fleet.nodes) {
      if (!node.member) continue;
      EXPECT_EQ(std::count_if(node.events.begin(), node.events.end(),
                              [&](const auto& entry) {
                                return entry.first >= killed &&
                                       entry.second.type == MembershipEvent::Type::zoneUnreachable;
                              }),
                1)
          << "seed " << seed;
    }
  }
}

/// Guards against declarations by a member that receives nothing: it cannot distinguish the death of all
/// others from a failure of its own network.
TEST(Membership, DeclaresNoDeathWhenAllOtherMembersAreKilled) {
  SimulatedFleet fleet = convergedFleet(8, 3, 1);
  for (std::size_t i = 1; i < 8; ++i) fleet.kill(i);
  fleet.runFor(300s);
  EXPECT_EQ(fleet.deathsDeclared(), 0u);
  EXPECT_TRUE(fleet.nodes[0].member->isViewUncertain(fleet.now));
}

/// Guards against declarations by a paused process, whose timers expire simultaneously when it resumes
/// although the others were alive.
TEST(Membership, DeclaresNoDeathWhenAllButOneMemberWerePaused) {
  for (int seed = 1; seed <= seeds; ++seed)
    for (const Duration pause : {500ms, 3000ms, 30000ms}) {
      SimulatedFleet fleet = convergedFleet(9, 3, seed);
      const Duration from = fleet.now;
      for (std::size_t i = 1; i < 9; ++i) fleet.pause(i, pause);  // all but one
      fleet.runFor(pause + 20s);
      EXPECT_TRUE(fleet.runUntil(30s, [&] { return fleet.hasConverged(); })) << "seed " << seed;
      for (std::size_t i = 0; i < 9; ++i)
        EXPECT_EQ(fleet.deathsDeclaredOf(i, from), 0u) << "seed " << seed << " member " << i;
    }
}

/// Guards against false declarations of running members by those that resume, and against members that stay
/// suspect after a pause.
TEST(Membership, ConvergesWhenAThirdOfTheFleetWasPaused) {
  for (int seed = 1; seed <= seeds; ++seed) {
    SimulatedFleet fleet = convergedFleet(9, 3, seed);
    const Duration from = fleet.now;
    for (std::size_t i = 0; i < 9; i += 3) fleet.pause(i, 30s);
    fleet.runFor(30s);
    EXPECT_TRUE(fleet.runUntil(20s, [&] { return fleet.hasConverged(); })) << "seed " << seed;
    for (std::size_t i = 1; i < 9; i += i % 3 == 2 ? 2 : 1)
      EXPECT_EQ(fleet.deathsDeclaredOf(i, from), 0u) << "seed " << seed;
  }
}

/// Guards against declarations that several lost probes in a row cause.
TEST(Membership, DeclaresNoDeathWhenThirtyPercentOfDatagramsAreLost) {
  for (int seed = 1; seed <= seeds; ++seed) {
    SimulatedFleet fleet = convergedFleet(9, 3, seed);
    fleet.link = [](auto, auto) { return SimulatedFleet::Link{0.3, {}}; };
    fleet.runFor(120s);
    EXPECT_EQ(fleet.deathsDeclared(), 0u) << "seed " << seed;
    fleet.healAllLinks();
    EXPECT_TRUE(fleet.runUntil(30s, [&] { return fleet.hasConverged(); }));
  }
}

/// Guards against declarations of members from which other members still receive. The cuts are: one link in
/// one direction, one link in both directions, and all links to one member.
TEST(Membership, DeclaresNoDeathWhenLinksAreCutInOneDirection) {
  using Cut = std::function<bool(std::size_t, std::size_t)>;
  const Cut cuts[] = {[](auto from, auto to) { return from == 0 && to == 1; },
                      [](auto from, auto to) { return (from == 0 && to == 1) || (from == 1 && to == 0); },
                      [](auto, auto to) { return to == 2; }};
  for (const auto& cut : cuts)
    for (int seed = 1; seed <= seeds; ++seed)
      for (const std::size_t count : {3u, 5u, 9u}) {
        SimulatedFleet fleet = convergedFleet(count, 3, seed);
        fleet.link = [&](auto from, auto to) { return SimulatedFleet::Link{cut(from, to) ? 1.0 : 0.0, {}}; };
        fleet.runFor(120s);
        EXPECT_EQ(fleet.deathsDeclared(), 0u) << count << " members, seed " << seed << " cut " << &cut - cuts;
        fleet.healAllLinks();
        EXPECT_TRUE(fleet.runUntil(20s, [&] { return fleet.hasConverged(); }))
            << count << " members, seed " << seed << " cut " << &cut - cuts;
        EXPECT_EQ(fleet.findInvariantViolation(), "");
      }
}

/// Guards against a broken link that stays unnoticed because other members confirm that the member is alive.
TEST(Membership, MarksAMemberUnreachableWhenOnlyTheLinkToItIsCut) {
  SimulatedFleet fleet = convergedFleet(5, 3, 1);
  fleet.link = [](auto from, auto to) { return SimulatedFleet::Link{from + to == 1 ? 1.0 : 0.0, {}}; };
  EXPECT_TRUE(fleet.runUntil(
      60s, [&] { return !fleet.nodes[0].member->members().at(SimulatedFleet::name(1)).isReachable(); }));
  EXPECT_EQ(fleet.stateSeen(0, 1), MemberState::alive);
  for (std::size_t by = 2; by < 5; ++by)
    EXPECT_TRUE(fleet.nodes[by].member->members().at(SimulatedFleet::name(1)).isReachable());
  fleet.healAllLinks();
  EXPECT_TRUE(fleet.runUntil(
      30s, [&] { return fleet.nodes[0].member->members().at(SimulatedFleet::name(1)).isReachable(); }));
}

/// Guards against a member that stays alive in the views although all of its messages are lost, and against
/// one that stays dead after its links work again.
TEST(Membership, DeclaresAMemberDeadWhenNoMemberReceivesFromIt) {
  for (int seed = 1; seed <= seeds; ++seed) {
    SimulatedFleet fleet = convergedFleet(9, 3, seed);
    fleet.link = [](auto from, auto) { return SimulatedFleet::Link{from == 2 ? 1.0 : 0.0, {}}; };
    fleet.runFor(90s);
    for (std::size_t by = 0; by < 9; ++by)
      EXPECT_EQ(fleet.stateSeen(by, 2), by == 2 ? std::nullopt : std::optional(MemberState::dead))
          << "seed " << seed << " by " << by;
    fleet.healAllLinks();
    EXPECT_TRUE(fleet.runUntil(20s, [&] { return fleet.hasConverged(); })) << "seed " << seed;
  }
}

/// Guards against sides of a partition that never probe each other again after each declared the other dead.
TEST(Membership, ConvergesWithinTenPeriodsWhenAPartitionEnds) {
  for (int seed = 1; seed <= seeds; ++seed)
    for (const std::size_t parts : {2u, 3u})
      for (const bool byZone : {true, false}) {
        SimulatedFleet fleet = convergedFleet(12, 3, seed);
        const auto part = [&](std::size_t i) { return byZone ? i % 3 % parts : i / (12 / parts); };
        fleet.link = [&](auto from, auto to) {
          return SimulatedFleet::Link{part(from) == part(to) ? 0.0 : 1.0, {}};
        };
        fleet.runFor(90s);
        fleet.kill(5), fleet.start(5, 2);  // one member restarts during the partition
        fleet.runFor(20s);
        fleet.healAllLinks();
        EXPECT_TRUE(fleet.runUntil(10s, [&] { return fleet.hasConverged(); }))
            << parts << " parts, seed " << seed << (byZone ? " by zone" : "");
      }
}

/// Guards against a restarted process whose first incarnation the others ignore as outdated.
TEST(Membership, RaisesTheIncarnationWhenAMemberRestarts) {
  for (int seed = 1; seed <= seeds; ++seed) {
    SimulatedFleet fleet = convergedFleet(5, 3, seed);
    fleet.kill(1), fleet.start(1);
    EXPECT_TRUE(fleet.runUntil(20s, [&] { return fleet.hasConverged(); })) << "seed " << seed;
    EXPECT_EQ(fleet.deathsDeclared(), 0u);
    EXPECT_GT(fleet.nodes[1].member->self().incarnation, Incarnation{1});
    EXPECT_EQ(fleet.findInvariantViolation(), "");
  }
}

/// Guards against a declaration of death of a member that announced that it leaves and then stopped.
TEST(Membership, DeclaresNoDeathWhenAMemberLeaves) {
  for (int seed = 1; seed <= seeds; ++seed) {
    SimulatedFleet fleet = convergedFleet(9, 3, seed);
    fleet.leave(4);
    fleet.runFor(1s);
    fleet.kill(4);
    fleet.runFor(60s);
    for (std::size_t by = 0; by < 9; ++by)
      EXPECT_EQ(by == 4 ? MemberState::left : fleet.stateSeen(by, 4), MemberState::left) << "seed " << seed;
    EXPECT_EQ(fleet.deathsDeclared(), 0u);
  }
}

/// Guards against declarations caused by acknowledgements that arrive after their probe has expired.
TEST(Membership, DeclaresNoDeathWhenALinkDelaysByTwoSeconds) {
  for (int seed = 1; seed <= seeds; ++seed) {
    SimulatedFleet fleet = convergedFleet(5, 3, seed);
    fleet.link = [](auto from, auto) {
      return SimulatedFleet::Link{0, from == 1 ? Duration(2s) : Duration{}};
    };
    fleet.runFor(120s);
    EXPECT_EQ(fleet.deathsDeclared(), 0u) << "seed " << seed;
  }
}

/// Guards against updates that are lost because many members join at the same time.
TEST(Membership, ConvergesWhenTwoHundredMembersJoinWithinASecond) {
  SimulatedFleet fleet(200, 3, 1);
  for (std::size_t i = 0; i < 200; ++i) fleet.start(i), fleet.runFor(5ms);
  EXPECT_TRUE(fleet.runUntil(60s, [&] { return fleet.hasConverged(); }));
  EXPECT_EQ(fleet.deathsDeclared(), 0u);
  EXPECT_EQ(fleet.findInvariantViolation(), "");
}

/// Guards against extensions of SWIM without effect, which would leave the tests above meaningless: with an
/// extension disabled, the fault that it handles leads to false declarations.
TEST(Membership, DeclaresLivingMembersDeadWhenAnExtensionIsDisabled) {
  std::size_t deathsByPausedMembers = 0, deathsOfDisconnectedMember = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    ProtocolSettings withoutPauseDetection;
    withoutPauseDetection.detectPauses = withoutPauseDetection.requireCorroboration = false;
    SimulatedFleet fleet = convergedFleet(9, 3, seed, withoutPauseDetection);
    for (std::size_t i = 1; i < 9; ++i) fleet.pause(i, 30s);
    fleet.runFor(60s);
    deathsByPausedMembers += fleet.deathsDeclared();
    ProtocolSettings withoutCorroboration;
    withoutCorroboration.requireCorroboration = false;
    SimulatedFleet disconnected = convergedFleet(9, 3, seed, withoutCorroboration);
    disconnected.link = [](auto, auto to) { return SimulatedFleet::Link{to == 2 ? 1.0 : 0.0, {}}; };
    disconnected.runFor(60s);
    deathsOfDisconnectedMember += disconnected.deathsDeclaredOf(2);
  }
  EXPECT_GT(deathsByPausedMembers, 0u);
  EXPECT_GT(deathsOfDisconnectedMember, 0u);
}

/// Guards against combinations of faults after which the views never agree again, or a living member stays
/// dead.
TEST(Membership, ConvergesWhenRandomFaultsEnd) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    pcg32 chance(seed);
    const std::size_t count = 4 + chance(8);
    SimulatedFleet fleet = convergedFleet(count, 1 + chance(3), static_cast<int>(seed));
    for (int i = 0; i < 6; ++i) {
      const std::size_t a = chance(static_cast<std::uint32_t>(count)),
                        b = chance(static_cast<std::uint32_t>(count));
      switch (chance(5)) {
        case 0:
          if (a != 0 && fleet.isRunning(a)) fleet.kill(a);
          break;
        case 1:
          if (!fleet.isRunning(a)) fleet.start(a);
          break;
        case 2:
          if (fleet.isRunning(a)) fleet.pause(a, std::chrono::milliseconds(chance(20000)));
          break;
        case 3:
          fleet.link = [a, b](auto from, auto to) {
            return SimulatedFleet::Link{from == a && to == b ? 1.0 : 0.1, {}};
          };
          break;
        default:
          fleet.link = [a](auto from, auto to) {
            return SimulatedFleet::Link{(from < a) == (to < a) ? 0.0 : 1.0, {}};
          };
      }
      fleet.runFor(std::chrono::milliseconds(chance(30000)));
    }
    fleet.healAllLinks();
    for (std::size_t i = 0; i < count; ++i)
      if (!fleet.isRunning(i)) fleet.start(i, i == 0 ? 1 : 0);
    fleet.runFor(20s);
    EXPECT_TRUE(fleet.runUntil(60s, [&] { return fleet.hasConverged(); })) << "seed " << seed;
    EXPECT_EQ(fleet.findInvariantViolation(), "") << "seed " << seed;
  }
}

/// Guards against two running instances with one name: the second one has to probe the first one and stop.
TEST(Membership, RejectsASecondInstanceWhenItsNameIsInUse) {
  SimulatedFleet fleet = convergedFleet(5, 3, 1);
  Membership second({SimulatedFleet::name(1), {"n9:1"}, {"z1"}, {"r"}, ProcessId{7}, Incarnation{1}},
                    {SimulatedFleet::address(0)}, {}, 1);
  Effects effects;
  second.open(fleet.now, effects);
  const auto exchange = [&](std::size_t with, const std::string& bytes, bool toSecond) {
    Effects produced;
    toSecond ? second.onMessage(fleet.now, *decodeMessage(bytes), produced)
             : fleet.nodes[with].member->onMessage(fleet.now, *decodeMessage(bytes), produced);
    return produced;
  };
  ASSERT_EQ(effects.messages.size(), 1u);
  const auto state = exchange(0, effects.messages[0].bytes, false);
  ASSERT_EQ(state.messages.size(), 1u);
  // The second instance finds its name in use and probes the holder.
  const auto requests = exchange(0, state.messages[0].bytes, true);
  ASSERT_EQ(requests.messages.size(), 1u);
  EXPECT_EQ(requests.messages[0].address, SimulatedFleet::address(1));
  EXPECT_FALSE(second.hasJoined());
  const auto reply = exchange(1, requests.messages[0].bytes, false);
  ASSERT_EQ(reply.messages.size(), 1u);
  EXPECT_EQ(reply.messages[0].address.text, "n9:1");
  exchange(1, reply.messages[0].bytes, true);
  EXPECT_TRUE(second.isRejected());
  fleet.runFor(30s);
  EXPECT_TRUE(fleet.hasConverged());
}

/// Guards against a report of a single death when both members of a zone are killed together, because the
/// failure of one of them is detected first.
TEST(Membership, ReportsTheZoneBeforeDeathsWhenAZoneOfTwoIsKilled) {
  for (int seed = 1; seed <= 12 * seeds; ++seed) {
    SimulatedFleet fleet = convergedFleet(6, 3, seed);
    fleet.link = [](auto, auto) { return SimulatedFleet::Link{0.1, {}}; };
    fleet.runFor(std::chrono::milliseconds(137 * seed % 3000));
    const Duration killed = fleet.now;
    fleet.kill(1), fleet.kill(4);
    EXPECT_TRUE(fleet.runUntil(180s, [&] { return fleet.hasConverged(); })) << "seed " << seed;
    for (const auto& node : fleet.nodes) {
      if (!node.member) continue;
      Duration zoneReportedAt{-1}, deathReportedAt{-1};
      for (const auto& [at, event] : node.events) {
        if (at < killed) continue;
        if (event.type == MembershipEvent::Type::zoneUnreachable && zoneReportedAt < 0s) zoneReportedAt = at;
        if (event.type == MembershipEvent::Type::stateChanged && event.state == MemberState::dead &&
            deathReportedAt < 0s)
          deathReportedAt = at;
      }
      EXPECT_TRUE(zoneReportedAt >= 0s && zoneReportedAt <= deathReportedAt) << "seed " << seed;
    }
  }
}

/// A member in a fleet of two. The test provides the messages of the other member and their times.
struct SingleMember {
  Membership member;
  const MemberRecord other{{"n1"}, {"n1:1"}, {"z1"}, {"r"}, ProcessId{2}, Incarnation{1}};
  explicit SingleMember(PersistedIdentity identity)
      : member({{"n0"}, {"n0:1"}, {"z0"}, {"r"}, ProcessId{1}, {}}, {}, {}, 1, std::move(identity)) {
    Effects effects;
    member.open(1s, effects);
  }
  void receive(Duration now, std::vector<GossipUpdate> updates) {
    Message message;
    message.sender = other, message.hasSenderJoined = true, message.updates = std::move(updates);
    Effects effects;
    member.onMessage(now, message, effects);
  }
  std::uint64_t incarnation() const { return static_cast<std::uint64_t>(member.self().incarnation); }
};

/// Guards against the use of an incarnation that is not on disk: after a restart, the member would use it
/// again.
TEST(Membership, RefutesOnlyWithReservedIncarnationsWhenSuspected) {
  SingleMember single({Incarnation{5}, Incarnation{6}, {}});
  const auto receiveSuspicion = [&] {
    single.receive(2s, {{GossipUpdate::Kind::suspect, single.member.self(), {{{"n1"}, {"z1"}}}}});
  };
  EXPECT_EQ(single.incarnation(), 5u);
  receiveSuspicion();
  EXPECT_EQ(single.incarnation(), 6u);
  EXPECT_EQ(single.member.counters().refutations, 1u);
  receiveSuspicion();  // 6 is the highest reserved incarnation
  EXPECT_EQ(single.incarnation(), 6u);
  EXPECT_EQ(single.member.counters().refutations, 1u);
  EXPECT_EQ(single.member.counters().postponedRefutations, 1u);
  single.member.reserveUpTo(Incarnation{100});
  receiveSuspicion();
  EXPECT_EQ(single.incarnation(), 7u);
  // An earlier process of this member at another address, where no process answers anymore.
  MemberRecord earlier = single.member.self();
  earlier.processId = ProcessId{9}, earlier.address = {"n9:1"}, earlier.incarnation = Incarnation{500};
  single.receive(3s, {{GossipUpdate::Kind::dead, earlier, {{{"n1"}, {"z1"}}}}});
  EXPECT_EQ(single.incarnation(), 100u);
  // The next reservation has to cover this incarnation in one step.
  EXPECT_EQ(single.member.requiredIncarnation(), Incarnation{501});
}

/// Guards against wrong sums by zone or region when an operator configures a zone with two regions.
TEST(Membership, IsRejectedWhenItsZoneHasAnotherRegion) {
  SimulatedFleet fleet = convergedFleet(3, 3, 1);
  Membership misconfigured({{"n9"}, {"n9:1"}, {"z1"}, {"elsewhere"}, ProcessId{7}, {}},
                           {SimulatedFleet::address(0)}, {}, 1);
  Effects requests, answers, results;
  misconfigured.open(fleet.now, requests);
  fleet.nodes[0].member->onMessage(fleet.now, *decodeMessage(requests.messages.at(0).bytes), answers);
  misconfigured.onMessage(fleet.now, *decodeMessage(answers.messages.at(0).bytes), results);
  EXPECT_TRUE(misconfigured.isRejected());
  EXPECT_FALSE(misconfigured.hasJoined());
  EXPECT_EQ(results.events.back().type, MembershipEvent::Type::regionMismatch);
  EXPECT_EQ(results.events.back().member.name, SimulatedFleet::name(1));
}

/// Guards against a member that cannot rejoin its fleet after a restart because all seeds are down.
TEST(Membership, AsksPersistedMembersWhenNoSeedAnswers) {
  Membership member({{"n0"}, {"n0:1"}, {"z0"}, {"r"}, ProcessId{1}, {}}, {{"n7:1"}}, {}, 1,
                    {Incarnation{1}, Incarnation{9}, {{{"n1"}, {"n1:1"}}, {{"n2"}, {"n2:1"}}}});
  Effects effects;
  member.open(0s, effects);
  for (Duration now{}; !member.hasJoined() && now < 20s; now += 100ms) member.onTimer(now, effects);
  std::vector<std::string> asked;
  for (const auto& sent : effects.messages) asked.push_back(sent.recipient.text + "@" + sent.address.text);
  EXPECT_EQ(asked, (std::vector<std::string>{"@n7:1", "@n7:1", "@n7:1", "n1@n1:1", "n2@n2:1"}));
  EXPECT_TRUE(member.hasJoined());  // no contact answers, so it is the first member
}

/// Guards against sums that lack statuses, and against outdated statuses that look current.
TEST(ZoneAggregate, SumsStatusesAndReportsTheOldestAgeWhenMembersPublish) {
  SimulatedFleet fleet = convergedFleet(5, 2, 1);  // zone z0 has n0, n2 and n4; each limit equals the index
  MemberStatus warmingUp;
  warmingUp.phase = Phase::warmingUp, warmingUp.concurrencyLimit = 10, warmingUp.warmUpProgress = 0.5,
  warmingUp.receivedPerSecond = 7, warmingUp.queueingRatio = 0.5;
  fleet.nodes[2].member->publishStatus(warmingUp);
  EXPECT_TRUE(fleet.runUntil(30s, [&] {
    const auto sums = aggregateByZone(*fleet.nodes[1].member, fleet.now);
    return sums.size() == 2 && sums[0].warmingUp == 1 && sums[0].withoutStatus == 0;
  }));
  const auto sums = aggregateByZone(*fleet.nodes[1].member, fleet.now);
  EXPECT_EQ(sums[0].zone.text, "z0");
  EXPECT_EQ(sums[0].members, 3u);
  EXPECT_EQ(sums[0].serving, 2u);
  EXPECT_DOUBLE_EQ(sums[0].concurrencyLimit, 14);
  EXPECT_DOUBLE_EQ(sums[0].receivedPerSecond, 7);
  EXPECT_NEAR(sums[0].warmUpProgress, 2.5 / 3, 1e-6);
  EXPECT_NEAR(sums[0].queueingRatio, 0.5 / 3, 1e-6);
  EXPECT_EQ(sums[1].members, 2u);
  EXPECT_LT(sums[0].oldestStatusAge, 30s);
  // While n4 is disconnected its status ages, and the aggregate reports that age.
  fleet.link = [](auto from, auto to) { return SimulatedFleet::Link{from == 4 || to == 4 ? 1.0 : 0.0, {}}; };
  fleet.runFor(6s);
  EXPECT_GE(aggregateByZone(*fleet.nodes[1].member, fleet.now)[0].oldestStatusAge, 4s);
  fleet.runFor(60s);
  EXPECT_EQ(aggregateByZone(*fleet.nodes[1].member, fleet.now)[0].members, 2u);
}

/// Guards against an observation without an age, as older releases send it. It may be an hour old, and
/// forwarded as new it would postpone every declaration.
TEST(MessageCodec, DropsAReceivedFromUpdateWhenItHasNoAge) {
  Message message;
  message.sender.name.text = "n1";
  message.updates.push_back({GossipUpdate::Kind::receivedFrom, message.sender, {{{"n2"}, {"z2"}}}, 5s});
  EXPECT_EQ(decodeMessage(encodeMessage(message, maxDatagramBytes).bytes)->updates.size(), 1u);
  msgpack::sbuffer withoutAge;
  msgpack::packer<msgpack::sbuffer> out(withoutAge);
  const auto object = msgpack::unpack(encodeMessage(message, maxDatagramBytes).bytes.data(),
                                      encodeMessage(message, maxDatagramBytes).bytes.size());
  const auto& fields = object.get().via.array;
  out.pack_array(fields.size);
  for (std::uint32_t i = 0; i < fields.size; ++i) {
    constexpr std::uint32_t updatesField = 7;
    if (i != updatesField) {
      out.pack(fields.ptr[i]);
      continue;
    }
    // Packs the only update without its fourth element, the age.
    out.pack_array(1), out.pack_array(3);
    for (int part = 0; part < 3; ++part) out.pack(fields.ptr[i].via.array.ptr[0].via.array.ptr[part]);
  }
  const auto back = decodeMessage({withoutAge.data(), withoutAge.size()});
  ASSERT_TRUE(back);
  EXPECT_TRUE(back->updates.empty());
}

/// Guards against fields that the encoding loses, and against crashes on truncated or damaged bytes.
RC_GTEST_PROP(MessageCodec, DecodesEncodedMessagesAndDoesNotCrashWhenBytesAreDamaged,
              (std::string name, std::uint64_t number)) {
  Message message;
  message.sender.name.text = name.substr(0, maxIdentifierBytes) + "x";
  if (message.sender.name.text.size() > maxIdentifierBytes) message.sender.name.text.pop_back();
  message.nonce = Nonce{number};
  message.updates.push_back({GossipUpdate::Kind::suspect, message.sender, {{{"a"}, {"z"}}}});
  message.statuses.push_back({{"b"}, Incarnation{2}, {}});
  message.unreachable.push_back({"c"});
  auto bytes = encodeMessage(message, maxDatagramBytes).bytes;
  const auto back = decodeMessage(bytes);
  RC_ASSERT(back.has_value());
  RC_ASSERT(back->sender == message.sender && back->updates == message.updates &&
            back->nonce == message.nonce);
  for (std::size_t cut = 0; cut < bytes.size(); ++cut)
    RC_ASSERT(!decodeMessage(std::string_view(bytes).substr(0, cut)));
  bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
  std::ignore = decodeMessage(bytes);
}

/// Guards against datagrams above the size limit when many updates are queued.
TEST(MessageCodec, EncodesOnlyTheUpdatesThatFitWhenADatagramIsFull) {
  Message message;
  message.sender.name.text = "x";
  for (int i = 0; i < 500; ++i)
    message.updates.push_back(
        {GossipUpdate::Kind::alive,
         {{"member" + std::to_string(i)}, {"127.0.0.1:7000"}, {"zone"}, {"region"}, {}, {}},
         {}});
  const auto [bytes, updateCount, statusCount] = encodeMessage(message, maxDatagramBytes);
  EXPECT_LE(bytes.size(), maxDatagramBytes);
  EXPECT_GT(updateCount, 10u);
  EXPECT_EQ(decodeMessage(bytes)->updates.size(), updateCount);
}

}  // namespace
}  // namespace rainhook::membership
