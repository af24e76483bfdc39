/// @file
/// The state folder of a member: what a later life of it knows, and what becomes of it where the disk fails.
/// With processes, as in fleet_test.cpp.
#include "fleet/persisted_state.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

#include "fleet/converged_fleet.h"

namespace rainhook::fleet {
namespace {

using namespace std::chrono_literals;

// Nobody else remembers: all are killed, and only its disk tells it how far it went.
TEST(FleetPersistedState, ALifeBeginsBeyondEveryIncarnationOfEarlierOnes) {
  ConvergedFleet w(3, 3, 21, 200ms, [](auto& fleet) {
    for (std::size_t i = 0; i < 3; ++i) fleet.write(i, stateSetting("state-" + std::to_string(i)));
  });
  w.cut([](auto from, auto) { return from == 1; });
  EXPECT_TRUE(w.until([&] { return w.state(0, 1) != "alive" && w.state(2, 1) != "alive"; }));
  w.heal();
  w.expectConvergence();
  const auto highestSeen = highestSeenIncarnation(w, 1);
  EXPECT_GE(highestSeen, 2u);  // it has taken back what was said of it
  for (std::size_t i = 0; i < 3; ++i) w.kill(i);
  w.startAll();
  w.expectConvergence();
  const auto log = stateLogOf(w, 1);
  ASSERT_EQ(log.firstIncarnations.size(), 2u);
  EXPECT_EQ(log.firstIncarnations.front(), 1u);
  EXPECT_GT(log.firstIncarnations.back(), highestSeen);
  EXPECT_EQ(log.unavailableEvents, 0u);
}

// The seed is gone, and those who are there look for it where it was: only what it kept leads to them.
TEST(FleetPersistedState, KnownMembersAreAskedWhenNoSeedAnswers) {
  ConvergedFleet w(4, 2, 22, 200ms, [](auto& fleet) { fleet.write(3, stateSetting("state-3")); });
  w.waitIntervals(15);
  w.kill(3);
  EXPECT_TRUE(w.until([&] {
    return w.command({"store", "get", "known/m3", "--dir", w.folder() + "/state-3"}).first == 0;
  }));
  w.kill(0);
  w.expectConvergence();
  w.move(3, false);  // nobody finds it, so it has to find them
  w.start(3);
  w.expectConvergence();
  ASSERT_EQ(stateLogOf(w, 3).knownMembers.size(), 2u);
  EXPECT_EQ(stateLogOf(w, 3).knownMembers.back(), "3 known members restored");
}

struct StateDamage {
  std::function<void(const std::string& folder)> apply;
  const char* name;
  bool isLogged;  // the log says that the state is unavailable
};
void PrintTo(const StateDamage& damage, std::ostream* out) { *out << damage.name; }
class FleetStateDamage : public testing::TestWithParam<StateDamage> {};

// It starts all the same, learns from the others how far it went, and keeps again what it can.
TEST_P(FleetStateDamage, DoesNotKeepTheMemberOut) {
  ConvergedFleet w(3, 3, 23, 200ms, [](auto& fleet) { fleet.write(1, stateSetting("state-1")); });
  w.kill(1);
  w.harm(1);
  GetParam().apply(w.folder() + "/state-1");
  w.start(1);
  w.expectConvergence();
  EXPECT_EQ(stateLogOf(w, 1).unavailableEvents > 0, GetParam().isLogged);
  EXPECT_TRUE(w.until([&] { return highestSeenIncarnation(w, 1) >= 2; }));  // past what the others knew
  w.waitIntervals(10);
  EXPECT_TRUE(w.agreed());
}
void overwriteFiles(const std::string& folder, const std::string& bytes) {
  for (const auto& entry : std::filesystem::directory_iterator(folder))
    if (entry.is_regular_file()) std::ofstream(entry.path()) << bytes;
}
INSTANTIATE_TEST_SUITE_P(
    Of, FleetStateDamage,
    testing::Values(StateDamage{[](const auto& folder) { overwriteFiles(folder, std::string(3000, 'x')); },
                                "Nonsense", false},
                    StateDamage{[](const auto& folder) { overwriteFiles(folder, ""); }, "Emptied", false},
                    StateDamage{[](const auto& folder) { std::filesystem::remove_all(folder); }, "Missing",
                                false},
                    StateDamage{[](const auto& folder) {
                                  std::filesystem::remove_all(folder);
                                  std::ofstream(folder) << "a file";
                                },
                                "AFileInItsPlace", true}),
    [](const auto& info) { return info.param.name; });

// After many lives its number is high; the disk that lost it has to come past it in one step, not in many.
TEST(FleetPersistedState, AMemberThatLostItsDiskPassesWhatOthersKnowAtOnce) {
  ConvergedFleet w(3, 3, 30, 200ms, [](auto& fleet) { fleet.write(1, stateSetting("state-1")); });
  const auto folder = w.folder() + "/state-1";
  w.kill(1);
  const auto many = "printf 300000 | " RAINHOOK_PROGRAM " store put incarnation/m1 --dir " + folder;
  ASSERT_EQ(std::system(many.c_str()), 0);
  w.start(1);
  EXPECT_TRUE(w.until([&] { return highestSeenIncarnation(w, 1) == 300001; }));
  w.kill(1), w.harm(1);
  std::filesystem::remove_all(folder);
  w.start(1);
  EXPECT_TRUE(w.until([&] { return highestSeenIncarnation(w, 1) > 300001; }, 30s));
  w.expectConvergence();
}

TEST(FleetPersistedState, IsWrittenAgainOnceAFullDiskHasRoom) {
  ClockAndDiskControl* control = nullptr;
  ConvergedFleet w(3, 3, 24, 200ms, [&](auto& fleet) {
    fleet.write(1, stateSetting("state-1"));
    control = &fleet.control(1);
    control->diskFault = ENOSPC;
  });
  EXPECT_TRUE(w.until([&] { return stateLogOf(w, 1).unavailableEvents == 1; }));
  EXPECT_GT(control->diskFaults, 0u);
  w.kill(1), w.start(1);  // full at the next start too
  w.expectConvergence();
  control->diskFault = 0;
  EXPECT_TRUE(w.until([&] { return stateLogOf(w, 1).recoveredEvents == 1; }));
  const auto highestSeen = highestSeenIncarnation(w, 1);
  w.kill(1), w.start(1);
  w.expectConvergence();
  EXPECT_GT(stateLogOf(w, 1).firstIncarnations.back(), highestSeen);
}

TEST(FleetPersistedState, AMemberGoesOnWhenItsDiskFails) {
  ClockAndDiskControl* control = nullptr;
  ConvergedFleet w(3, 3, 25, 200ms, [&](auto& fleet) {
    fleet.write(1, stateSetting("state-1"));
    control = &fleet.control(1);
  });
  control->diskFault = EIO;
  w.cut([](auto from, auto) { return from == 1; });
  EXPECT_TRUE(w.until([&] { return w.state(0, 1) != "alive"; }));
  w.heal();
  w.expectConvergence();
  control->diskFault = 0;
  const auto highestSeen = highestSeenIncarnation(w, 1);
  w.kill(1), w.start(1);
  w.expectConvergence();
  EXPECT_GT(stateLogOf(w, 1).firstIncarnations.back(), highestSeen);
}

TEST(FleetPersistedState, AFolderOfAnotherProcessIsRefused) {
  ConvergedFleet w(3, 3, 26, 200ms, [](auto& fleet) { fleet.write(1, stateSetting("state-1")); });
  w.write(2, stateSetting("state-1"));
  const auto [status, said] = w.command({"witness", "--options", w.options(2)});
  EXPECT_EQ(status, 1);
  EXPECT_NE(said.find("state-1"), std::string::npos) << said;
}

}  // namespace
}  // namespace rainhook::fleet
