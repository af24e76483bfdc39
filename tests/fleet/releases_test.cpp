/// @file
/// Tests of a fleet with members of other releases, of steps of the wall clock, and of the zone summary of
/// the `members` command. The members are separate processes, as in fleet_test.cpp.
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "fleet/converged_fleet.h"
#include "fleet/persisted_state.h"

namespace rainhook::fleet {
namespace {

using namespace std::chrono_literals;

// Guards against messages that another release cannot read: members with shorter (older) and longer (later)
// messages run together with this release, and are then upgraded to it one by one.
TEST(FleetReleases, MembersOfOlderAndLaterReleasesAreCompatible) {
  ConvergedFleet fleet(5, 3, 27, 200ms, [](auto& unstarted) {
    unstarted.setProgram(0, RAINHOOK_OLDER), unstarted.setProgram(3, RAINHOOK_OLDER),
        unstarted.setProgram(1, RAINHOOK_LATER);
    // Member 0 has no seed, so after a restart it finds the fleet only through the known members in its state
    // folder.
    unstarted.writeOptions(0, stateSetting("state-0"));
  });
  fleet.waitIntervals(15);
  EXPECT_EQ(fleet.deathsDeclared(fleet.convergedAt), 0u);
  fleet.kill(4);
  EXPECT_TRUE(fleet.waitUntil([&] { return fleet.viewsAgree(); }, fleet.probeInterval() * 20 + 10s));
  fleet.start(4);
  fleet.expectConvergence();
  fleet.cutLinks([](auto from, auto to) { return from == 1 && to == 2; });
  fleet.waitIntervals(20);
  fleet.heal();
  for (const std::size_t i : {0u, 1u, 3u}) {
    fleet.setProgram(i, RAINHOOK_PROGRAM);
    EXPECT_EQ(fleet.terminate(i), 0);
    fleet.start(i);
    fleet.expectConvergence();
  }
  EXPECT_EQ(fleet.deathsDeclared(fleet.convergedAt), fleet.deathsDeclaredOf(4, fleet.convergedAt));
}

// Guards against timers and incarnations that depend on the wall clock: steps of hours and of a year,
// forwards and back, must cause no deaths, no detected pauses and no reuse of an incarnation.
TEST(FleetClock, StepsOfTheWallClockHaveNoEffect) {
  std::vector<ClockAndDiskControl*> control;
  ConvergedFleet fleet(5, 3, 28, 200ms, [&](auto& unstarted) {
    for (std::size_t i = 0; i < 5; ++i) control.push_back(&unstarted.control(i));
    unstarted.writeOptions(2, stateSetting("state-2"));
  });
  constexpr std::int64_t hour = 3600 * 1'000'000'000LL;
  for (const auto& [hoursOnMember1, hoursOnOthers] : {std::pair(-1, 1), std::pair(1, -24 * 365)}) {
    control[1]->wallOffsetNs = hoursOnMember1 * hour, control[2]->wallOffsetNs = hoursOnOthers * hour,
    control[3]->wallOffsetNs = hoursOnOthers * hour;
    fleet.waitIntervals(20);
  }
  for (const std::size_t i : {1u, 2u, 3u}) {
    EXPECT_GT(control[i]->wallReads, 0u);  // the process read the shifted clock
    // A loaded machine may pause the process briefly, but a step of an hour must not be logged as a pause.
    for (const auto& entry : fleet.log(i).entries)
      EXPECT_TRUE(entry.event != "pause-detected" || std::stoll(entry.reason) < 60'000) << entry.reason;
  }
  EXPECT_TRUE(fleet.viewsAgree());
  EXPECT_EQ(fleet.deathsDeclared(fleet.convergedAt), 0u);
  const auto highestSeen = highestSeenIncarnation(fleet, 2);
  fleet.kill(2), fleet.start(2);  // the clock is set back by a year, but the stored state is still valid
  fleet.expectConvergence();
  EXPECT_GT(stateLogOf(fleet, 2).firstIncarnations.back(), highestSeen);
}

// Guards against wrong counts in the zone summary.
TEST(FleetZones, CommandPrintsTheCountsOfEachZone) {
  ConvergedFleet fleet(5, 2, 29);
  EXPECT_TRUE(fleet.waitUntil([&] {
    const auto [status, output] =
        fleet.runCommand({"members", "zones", "--json", "--options", fleet.options(0)});
    const auto rows = nlohmann::json::parse(output, nullptr, false);
    return status == 0 && rows.size() == 2 && rows[0].at("zone") == "z0" && rows[0].at("observers") == 3 &&
           rows[1].at("members") == 2 && rows[1].at("unsaid") == 0 && rows[1].at("silent") == false;
  }));
  const auto [status, table] = fleet.runCommand({"members", "zones", "--options", fleet.options(0)});
  EXPECT_EQ(status, 0);
  EXPECT_NE(table.find("z1           r                2"), std::string::npos) << table;
}

}  // namespace
}  // namespace rainhook::fleet
