/// @file
/// Tests of the state folder of a member: what a restarted process restores from it, and what happens when
/// the folder is damaged or the disk fails. The members are separate processes, as in fleet_test.cpp.
#include "fleet/persisted_state.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

#include "fleet/converged_fleet.h"

namespace rainhook::fleet {
namespace {

using namespace std::chrono_literals;

// Guards against a restarted member that reuses an incarnation of its previous process. All members are
// killed, so that only the state folder contains the last incarnation.
TEST(FleetPersistedState, RestartedMemberStartsAboveAllEarlierIncarnations) {
  ConvergedFleet fleet(3, 3, 21, 200ms, [](auto& unstarted) {
    for (std::size_t i = 0; i < 3; ++i) unstarted.writeOptions(i, stateSetting("state-" + std::to_string(i)));
  });
  fleet.cutLinks([](auto from, auto) { return from == 1; });
  EXPECT_TRUE(fleet.waitUntil([&] { return fleet.state(0, 1) != "alive" && fleet.state(2, 1) != "alive"; }));
  fleet.heal();
  fleet.expectConvergence();
  const auto highestSeen = highestSeenIncarnation(fleet, 1);
  EXPECT_GE(highestSeen, 2u);  // the member has refuted the suspicion
  for (std::size_t i = 0; i < 3; ++i) fleet.kill(i);
  fleet.startAll();
  fleet.expectConvergence();
  const auto log = stateLogOf(fleet, 1);
  ASSERT_EQ(log.firstIncarnations.size(), 2u);
  EXPECT_EQ(log.firstIncarnations.front(), 1u);
  EXPECT_GT(log.firstIncarnations.back(), highestSeen);
  EXPECT_EQ(log.unavailableEvents, 0u);
}

// Guards against a restarted member that cannot join because its seed is down. The other members still
// have its old address, so it can reach them only through the known members in its state folder.
TEST(FleetPersistedState, MemberJoinsThroughKnownMembersWhenNoSeedAnswers) {
  ConvergedFleet fleet(4, 2, 22, 200ms,
                       [](auto& unstarted) { unstarted.writeOptions(3, stateSetting("state-3")); });
  fleet.waitIntervals(15);
  fleet.kill(3);
  EXPECT_TRUE(fleet.waitUntil([&] {
    return fleet.runCommand({"store", "get", "known/m3", "--dir", fleet.folder() + "/state-3"}).first == 0;
  }));
  fleet.kill(0);
  fleet.expectConvergence();
  // The links still lead to the old address, so the member has to contact the others.
  fleet.changeAddress(3, false);
  fleet.start(3);
  fleet.expectConvergence();
  ASSERT_EQ(stateLogOf(fleet, 3).knownMembers.size(), 2u);
  EXPECT_EQ(stateLogOf(fleet, 3).knownMembers.back(), "3 known members restored");
}

struct StateDamage {
  std::function<void(const std::string& folder)> apply;
  const char* name;
  bool isLogged;  // whether the member logs `state-unavailable`
};
void PrintTo(const StateDamage& damage, std::ostream* out) { *out << damage.name; }
class FleetStateDamage : public testing::TestWithParam<StateDamage> {};

// Guards against a member that cannot start with a damaged state folder. It has to start, learn its last
// incarnation from the other members, and store its state again if the folder is usable.
TEST_P(FleetStateDamage, DoesNotPreventTheMemberFromJoining) {
  ConvergedFleet fleet(3, 3, 23, 200ms,
                       [](auto& unstarted) { unstarted.writeOptions(1, stateSetting("state-1")); });
  fleet.kill(1);
  fleet.recordStateDamage(1);
  GetParam().apply(fleet.folder() + "/state-1");
  fleet.start(1);
  fleet.expectConvergence();
  EXPECT_EQ(stateLogOf(fleet, 1).unavailableEvents > 0, GetParam().isLogged);
  // The new incarnation is above the one that the others knew.
  EXPECT_TRUE(fleet.waitUntil([&] { return highestSeenIncarnation(fleet, 1) >= 2; }));
  fleet.waitIntervals(10);
  EXPECT_TRUE(fleet.viewsAgree());
}
void overwriteFiles(const std::string& folder, const std::string& bytes) {
  for (const auto& entry : std::filesystem::directory_iterator(folder))
    if (entry.is_regular_file()) std::ofstream(entry.path()) << bytes;
}
INSTANTIATE_TEST_SUITE_P(
    All, FleetStateDamage,
    testing::Values(StateDamage{[](const auto& folder) { overwriteFiles(folder, std::string(3000, 'x')); },
                                "InvalidBytes", false},
                    StateDamage{[](const auto& folder) { overwriteFiles(folder, ""); }, "EmptyFiles", false},
                    StateDamage{[](const auto& folder) { std::filesystem::remove_all(folder); },
                                "MissingFolder", false},
                    StateDamage{[](const auto& folder) {
                                  std::filesystem::remove_all(folder);
                                  std::ofstream(folder) << "a file";
                                },
                                "FileInsteadOfFolder", true}),
    [](const auto& info) { return info.param.name; });

// Guards against a member that raises its incarnation one by one after its state folder was lost. The other
// members know a high incarnation of it, which it has to exceed in one step.
TEST(FleetPersistedState, MemberWithoutItsStateExceedsItsKnownIncarnationInOneStep) {
  ConvergedFleet fleet(3, 3, 30, 200ms,
                       [](auto& unstarted) { unstarted.writeOptions(1, stateSetting("state-1")); });
  const auto folder = fleet.folder() + "/state-1";
  fleet.kill(1);
  const auto putHighIncarnation =
      "printf 300000 | " RAINHOOK_PROGRAM " store put incarnation/m1 --dir " + folder;
  ASSERT_EQ(std::system(putHighIncarnation.c_str()), 0);
  fleet.start(1);
  EXPECT_TRUE(fleet.waitUntil([&] { return highestSeenIncarnation(fleet, 1) == 300001; }));
  fleet.kill(1), fleet.recordStateDamage(1);
  std::filesystem::remove_all(folder);
  fleet.start(1);
  EXPECT_TRUE(fleet.waitUntil([&] { return highestSeenIncarnation(fleet, 1) > 300001; }, 30s));
  fleet.expectConvergence();
}

// Guards against a member that does not store its state again after its disk was full and has free space
// again.
TEST(FleetPersistedState, IsStoredAgainWhenAFullDiskHasFreeSpace) {
  ClockAndDiskControl* control = nullptr;
  ConvergedFleet fleet(3, 3, 24, 200ms, [&](auto& unstarted) {
    unstarted.writeOptions(1, stateSetting("state-1"));
    control = &unstarted.control(1);
    control->diskFault = ENOSPC;
  });
  EXPECT_TRUE(fleet.waitUntil([&] { return stateLogOf(fleet, 1).unavailableEvents == 1; }));
  EXPECT_GT(control->diskFaults, 0u);
  fleet.kill(1), fleet.start(1);  // the disk is still full at the next start
  fleet.expectConvergence();
  control->diskFault = 0;
  EXPECT_TRUE(fleet.waitUntil([&] { return stateLogOf(fleet, 1).recoveredEvents == 1; }));
  const auto highestSeen = highestSeenIncarnation(fleet, 1);
  fleet.kill(1), fleet.start(1);
  fleet.expectConvergence();
  EXPECT_GT(stateLogOf(fleet, 1).firstIncarnations.back(), highestSeen);
}

// Guards against a member that stops working, or reuses an incarnation after a restart, because writes to its
// state folder fail.
TEST(FleetPersistedState, MemberContinuesWhenItsDiskFails) {
  ClockAndDiskControl* control = nullptr;
  ConvergedFleet fleet(3, 3, 25, 200ms, [&](auto& unstarted) {
    unstarted.writeOptions(1, stateSetting("state-1"));
    control = &unstarted.control(1);
  });
  control->diskFault = EIO;
  fleet.cutLinks([](auto from, auto) { return from == 1; });
  EXPECT_TRUE(fleet.waitUntil([&] { return fleet.state(0, 1) != "alive"; }));
  fleet.heal();
  fleet.expectConvergence();
  control->diskFault = 0;
  const auto highestSeen = highestSeenIncarnation(fleet, 1);
  fleet.kill(1), fleet.start(1);
  fleet.expectConvergence();
  EXPECT_GT(stateLogOf(fleet, 1).firstIncarnations.back(), highestSeen);
}

// Guards against two processes that write to the same state folder.
TEST(FleetPersistedState, RejectsFolderThatAnotherProcessUses) {
  ConvergedFleet fleet(3, 3, 26, 200ms,
                       [](auto& unstarted) { unstarted.writeOptions(1, stateSetting("state-1")); });
  fleet.writeOptions(2, stateSetting("state-1"));
  const auto [status, output] = fleet.runCommand({"witness", "--options", fleet.options(2)});
  EXPECT_EQ(status, 1);
  EXPECT_NE(output.find("state-1"), std::string::npos) << output;
}

}  // namespace
}  // namespace rainhook::fleet
