/// @file
/// Members of other releases beside this one, steps of the wall clock, and the sums by zone. With processes,
/// as in fleet_test.cpp.
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "fleet/converged_fleet.h"
#include "fleet/persisted_state.h"

namespace rainhook::fleet {
namespace {

using namespace std::chrono_literals;

// Two releases that say less and more than this one, beside it; then each is replaced by this one.
TEST(FleetReleases, OlderAndLaterOnesAreMembersBesideThisOne) {
  ConvergedFleet w(5, 3, 27, 200ms, [](auto& fleet) {
    fleet.runs(0, RAINHOOK_OLDER), fleet.runs(3, RAINHOOK_OLDER), fleet.runs(1, RAINHOOK_LATER);
    fleet.write(0, stateSetting("state-0"));  // it names no seed: once it has left, only this leads it back
  });
  w.waitIntervals(15);
  EXPECT_EQ(w.verdicts(w.from), 0u);
  w.kill(4);
  EXPECT_TRUE(w.until([&] { return w.agreed(); }, w.every() * 20 + 10s));
  w.start(4);
  w.expectConvergence();
  w.cut([](auto from, auto to) { return from == 1 && to == 2; });
  w.waitIntervals(20);
  w.heal();
  for (const std::size_t i : {0u, 1u, 3u}) {
    w.runs(i, RAINHOOK_PROGRAM);
    EXPECT_EQ(w.terminate(i), 0);
    w.start(i);
    w.expectConvergence();
  }
  EXPECT_EQ(w.verdicts(w.from), w.verdictsOn(4, w.from));
}

TEST(FleetClock, StepsOfTheWallClockHaveNoEffect) {
  std::vector<ClockAndDiskControl*> control;
  ConvergedFleet w(5, 3, 28, 200ms, [&](auto& fleet) {
    for (std::size_t i = 0; i < 5; ++i) control.push_back(&fleet.control(i));
    fleet.write(2, stateSetting("state-2"));
  });
  constexpr std::int64_t hour = 3600 * 1'000'000'000LL;
  for (const auto& [back, on] : {std::pair(-1, 1), std::pair(1, -24 * 365)}) {
    control[1]->wallOffsetNs = back * hour, control[2]->wallOffsetNs = on * hour,
    control[3]->wallOffsetNs = on * hour;
    w.waitIntervals(20);
  }
  for (const std::size_t i : {1u, 2u, 3u}) {
    EXPECT_GT(control[i]->wallReads, 0u);  // it has seen the steps
    for (const auto& seen :
         w.history(i).all)  // a loaded machine may stop it for a moment, but not for an hour
      EXPECT_TRUE(seen.event != "pause-detected" || std::stoll(seen.why) < 60'000) << seen.why;
  }
  EXPECT_TRUE(w.agreed());
  EXPECT_EQ(w.verdicts(w.from), 0u);
  const auto highestSeen = highestSeenIncarnation(w, 2);
  w.kill(2), w.start(2);  // a year back: what it kept holds
  w.expectConvergence();
  EXPECT_GT(stateLogOf(w, 2).firstIncarnations.back(), highestSeen);
}

TEST(FleetZones, TheCommandPrintsTheirSums) {
  ConvergedFleet w(5, 2, 29);
  EXPECT_TRUE(w.until([&] {
    const auto [status, said] = w.command({"members", "zones", "--json", "--options", w.options(0)});
    const auto rows = nlohmann::json::parse(said, nullptr, false);
    return status == 0 && rows.size() == 2 && rows[0].at("zone") == "z0" && rows[0].at("observers") == 3 &&
           rows[1].at("members") == 2 && rows[1].at("unsaid") == 0 && rows[1].at("silent") == false;
  }));
  const auto [status, table] = w.command({"members", "zones", "--options", w.options(0)});
  EXPECT_EQ(status, 0);
  EXPECT_NE(table.find("z1           r                2"), std::string::npos) << table;
}

}  // namespace
}  // namespace rainhook::fleet
