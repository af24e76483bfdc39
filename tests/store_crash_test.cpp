/// @file
/// The store through crashes and failures of the disk: whatever is lost of what was not synced, each start
/// succeeds and serves what was acknowledged.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>

#include "store_operation_history.h"

namespace rainhook::store {
namespace {

constexpr int steps = 70;           // of a history
constexpr int survivalChoices = 5;  // of what a loss of power leaves

/// How many seeds to try; RAINHOOK_SEEDS asks for a longer search by hand.
std::uint64_t seedCount(std::uint64_t usual) {
  const char* requested = std::getenv("RAINHOOK_SEEDS");
  return requested ? std::strtoull(requested, nullptr, 10) : usual;
}

/// Opens the store on what a crash left, checks what it serves, writes on, and opens it again.
void expectRecoversAndContinues(SimulatedDisk disk, ReferenceModel model, UnixTime now,
                                const std::string& where) {
  OperationHistory after(disk, 5);
  after.now = now;
  after.model = std::move(model);
  ASSERT_TRUE(after.open()) << where;
  ASSERT_EQ(after.contradictions(), "") << where << " after the start";
  ASSERT_EQ(after.store().statistics().lostRecords, 0u) << where;
  after.runAllMaintenance();
  ASSERT_EQ(after.contradictions(), "") << where << " after compaction";
  after.run(15);
  ASSERT_EQ(after.contradictions(), "") << where << " after more writes";
  ASSERT_TRUE(after.open()) << where;
  ASSERT_EQ(after.contradictions(), "") << where << " after another start";
}

TEST(StoreCrash, LosesNothingAcknowledgedWhenAtAnyOperation) {
  for (std::uint64_t seed = 1; seed <= seedCount(3); ++seed) {
    SimulatedDisk whole;
    OperationHistory first(whole, seed);
    ASSERT_TRUE(first.open());
    first.run(steps);
    ASSERT_EQ(first.contradictions(), "");
    ASSERT_GT(first.earlierCompactions + first.store().statistics().compactions, 0u);
    for (std::uint64_t at = 0; at < whole.operations; ++at) {
      SimulatedDisk disk;
      disk.crashAt = at;
      OperationHistory history(disk, seed);
      if (history.open()) history.run(steps);
      history.kill();
      for (int choice = 0; choice < survivalChoices; ++choice) {
        expectRecoversAndContinues(disk.afterPowerLoss(choice), history.model, history.now,
                                   "seed " + std::to_string(seed) + ", crash at " + std::to_string(at) +
                                       ", choice " + std::to_string(choice));
        if (HasFatalFailure()) return;
      }
    }
  }
}

TEST(StoreCrash, LosesNothingAcknowledgedWhenRepeatedDuringRecovery) {
  SimulatedDisk whole;
  OperationHistory first(whole, 4);
  ASSERT_TRUE(first.open());
  first.run(steps);
  for (std::uint64_t at = 3; at < whole.operations; at += 11) {
    SimulatedDisk disk;
    disk.crashAt = at;
    OperationHistory history(disk, 4);
    if (history.open()) history.run(steps);
    history.kill();
    for (int choice = 0; choice < 3; ++choice) {
      const auto found = disk.afterPowerLoss(choice);
      for (std::uint64_t again = 0;; ++again) {
        SimulatedDisk second = found;
        // The inodes are shared by a copy; take bytes of its own.
        second = SimulatedDisk::withFiles(second.image());
        second.crashAt = again;
        OperationHistory recovering(second, 5);
        recovering.now = history.now;
        recovering.open();
        recovering.kill();
        const bool over = second.operations <= again;
        expectRecoversAndContinues(second.afterPowerLoss(static_cast<int>(again % survivalChoices)),
                                   history.model, history.now,
                                   "crash at " + std::to_string(at) + ", again at " + std::to_string(again));
        if (HasFatalFailure()) return;
        if (over) break;
      }
    }
  }
}

// Each fault once at each operation; the process goes on, and then the power fails.
TEST(StoreDiskError, LosesNothingAcknowledgedWhenAtAnyOperation) {
  for (std::uint64_t seed = 6; seed < 6 + seedCount(1); ++seed)
    for (const int fault : {EIO, ENOSPC, EMFILE, SimulatedDisk::shortWrite}) {
      SimulatedDisk whole;
      OperationHistory first(whole, seed);
      ASSERT_TRUE(first.open());
      first.run(steps);
      for (std::uint64_t at = 0; at < whole.operations; ++at) {
        SimulatedDisk disk;
        disk.faults[at] = fault;
        OperationHistory history(disk, seed);
        const auto where =
            "seed " + std::to_string(seed) + ", fault " + std::to_string(fault) + " at " + std::to_string(at);
        ASSERT_TRUE(history.open()) << where;
        history.run(steps);
        ASSERT_EQ(history.contradictions(), "") << where;
        history.kill();
        for (const int choice : {0, 2}) {
          expectRecoversAndContinues(disk.afterPowerLoss(choice), history.model, history.now,
                                     where + ", choice " + std::to_string(choice));
          if (HasFatalFailure()) return;
        }
      }
    }
}

TEST(StoreDiskError, AcknowledgesNothingWhenEverySyncFails) {
  SimulatedDisk disk;
  OperationHistory history(disk, 7);
  ASSERT_TRUE(history.open());
  history.run(20);
  disk.everySyncFault = EIO;
  const std::vector<WriteRequest> writes{WriteRequest::put("key1", "new")};
  const auto names = disk.files.size();
  for (int i = 0; i < 20; ++i) {
    const auto status = history.store().commit(writes, history.now).front();
    EXPECT_EQ(status.code, StoreErrorCode::ioError);
    history.model.recordWrite(writes[0], false);
  }
  EXPECT_LE(disk.files.size(), names + 6) << "a failing disk fills with files";
  disk.everySyncFault = 0;
  history.runAllMaintenance();
  EXPECT_TRUE(history.store().commit(writes, history.now).front().isOk());
  history.model.recordWrite(writes[0], true);
  EXPECT_EQ(history.contradictions(), "");
  history.kill();
  expectRecoversAndContinues(disk.afterPowerLoss(0), history.model, history.now,
                             "after the syncs worked again");
}

// A sync that failed in one process says nothing to the next, whose own sync succeeds and means nothing.
TEST(StoreDiskError, LaterStartsDistrustWhatAFailedSyncLeft) {
  SimulatedDisk disk;
  OperationHistory history(disk, 13);
  ASSERT_TRUE(history.open());
  // Each segment half dead: the second round writes every other key again.
  for (std::uint64_t i = 0; i < 18; ++i)
    history.commit({WriteRequest::put(numbered("key", i < 12 ? i : (i - 12) * 2), std::string(40, 'a'))});
  while (history.store().statistics().compactedBytes == 0)
    ASSERT_TRUE(history.store().runMaintenance(history.now));
  ASSERT_EQ(history.store().statistics().compactions, 0u) << "copies that were not synced, and their input";
  disk.everySyncFault = EIO;
  ASSERT_TRUE(history.open());
  disk.everySyncFault = 0;
  ASSERT_TRUE(history.open());
  ASSERT_TRUE(history.open()) << "and by one that knows of it from the manifest alone";
  history.runAllMaintenance();
  expectRecoversAndContinues(disk.afterPowerLoss(0), history.model, history.now,
                             "after a start whose syncs failed");
}

TEST(StoreDiskError, WritesAreRefusedWithoutDescriptorsAndGoOnAfterwards) {
  SimulatedDisk disk;
  OperationHistory history(disk, 8);
  ASSERT_TRUE(history.open());
  history.run(30);
  disk.everyOpenFault = EMFILE;
  history.run(30);
  history.runAllMaintenance();
  disk.everyOpenFault = 0;
  ASSERT_TRUE(history.open()) << "a start without descriptors may have failed";
  EXPECT_EQ(history.contradictions(), "");
  history.run(30);
  EXPECT_EQ(history.contradictions(), "");
  history.kill();
  expectRecoversAndContinues(disk.afterPowerLoss(0), history.model, history.now,
                             "after descriptors were short");
}

TEST(StoreDiskError, AFullDiskDuringCompactionLosesNothingAcknowledged) {
  std::uint64_t refused = 0;
  for (std::uint64_t spare = 0; spare < 3000; spare += 60) {
    SimulatedDisk disk;
    OperationHistory history(disk, 9);
    ASSERT_TRUE(history.open());
    history.run(40);
    disk.capacity = disk.usedBytes() + spare;
    history.run(40);
    history.runAllMaintenance();
    ASSERT_EQ(history.contradictions(), "") << spare;
    refused += history.store().statistics().failedWrites;
    disk.capacity = SimulatedDisk::never;
    const std::vector<WriteRequest> writes{WriteRequest::put("key2", "room again")};
    ASSERT_TRUE(history.store().commit(writes, history.now).front().isOk()) << spare;
    history.model.recordWrite(writes[0], true);
    history.kill();
    expectRecoversAndContinues(disk.afterPowerLoss(0), history.model, history.now,
                               "spare " + std::to_string(spare));
    if (HasFatalFailure()) return;
  }
  EXPECT_GT(refused, 100u) << "the disk was never full";
}

TEST(StoreSnapshot, IsRefusedOrWholeWhenInterruptedAtAnyOperation) {
  std::uint64_t operations = 1;
  for (std::uint64_t at = 0; at <= operations; ++at) {
    SimulatedDisk disk;
    SimulatedDisk target;
    OperationHistory history(disk, 10);
    ASSERT_TRUE(history.open());
    history.run(40);
    target.crashAt = at;
    std::optional<StoreStatus> ended;
    auto copied = history.model;
    const auto begun = history.store().startSnapshot(std::make_unique<CrashSimulatingDisk>(target),
                                                     [&](StoreStatus status) { ended = std::move(status); });
    if (!begun.isOk()) ended = begun;
    for (int i = 0; i < 2000 && !ended; ++i) {
      history.store().runMaintenance(history.now);
      if (i % 3 == 0)
        history.commit(
            {WriteRequest::put(numbered("key", static_cast<std::uint64_t>(i % 12)), "while copying")});
    }
    ASSERT_TRUE(ended);
    ASSERT_EQ(history.contradictions(), "");
    operations = std::max(operations, target.operations);
    for (int choice = 0; choice < survivalChoices; ++choice) {
      SimulatedDisk found = target.afterPowerLoss(choice);
      OperationHistory other(found, 11);
      other.now = history.now;
      // Cut short, it is refused or was never begun; whole, it is the store as it was at its beginning.
      const bool opened = other.open();
      const bool begunThere =
          found.files.size() > 1 || ended->isOk();  // beside the manifest of an empty store
      if (opened && begunThere) {
        ASSERT_EQ(copied.contradictions(other.store(), history.now), "") << at << ", choice " << choice;
      }
      ASSERT_TRUE(opened || !ended->isOk()) << at << ", choice " << choice;
    }
  }
}

// A write that failed may be found by a start all the same: its file was not truncated, or the truncation was
// lost. An erasure that was acknowledged after it holds against that.
TEST(StoreDiskError, AnErasureHoldsAgainstAWriteThatFailedBefore) {
  for (const bool older : {false, true})
    for (const bool syncFails : {true, false})
      for (int choice = 0; choice < 40; ++choice) {
        SimulatedDisk disk;
        OperationHistory history(disk, 12);
        ASSERT_TRUE(history.open());
        // Beside enough that lives to keep its segment from being compacted first.
        if (older)
          history.commit({WriteRequest::put("key1", "older"),
                          WriteRequest::put("keeper", "0123456789abcdefghijklmnopqrstuvwxyz")});
        ASSERT_TRUE(history.open());  // what is older stands in a segment of its own
        history.commit({WriteRequest::put("other", "there")});
        const auto next = disk.operations;
        disk.everyOpenFault = EMFILE;  // no new segment can be had for a second try
        if (syncFails) {
          disk.faults[next + 1] = EIO;  // the sync behind the write; then the truncation works
        } else {
          disk.faults[next] =
              SimulatedDisk::shortWrite;  // half of the write, which holds the whole record of key1, ...
          disk.faults[next + 1] = EIO;    // no more of it, ...
          disk.faults[next + 2] = EIO;    // and no truncation
        }
        const std::vector<WriteRequest> failing{WriteRequest::put("key1", "failed"),
                                                WriteRequest::put("key2", std::string(190, 'z'))};
        ASSERT_FALSE(history.store().commit(failing, history.now).front().isOk());
        for (const auto& write : failing) history.model.recordWrite(write, false);
        disk.everyOpenFault = 0;
        disk.faults.clear();
        const std::vector<WriteRequest> erasing{WriteRequest::erase("key1")};
        ASSERT_TRUE(history.store().commit(erasing, history.now).front().isOk());
        history.model.recordWrite(erasing[0], true);
        const auto where = std::string(older ? "older, " : "") + (syncFails ? "sync" : "truncation") +
                           ", choice " + std::to_string(choice);
        expectRecoversAndContinues(disk.afterPowerLoss(choice), history.model, history.now, where);
        if (HasFatalFailure()) return;
        // Whatever is compacted, and whenever the power fails.
        std::optional<StoreStatus> ended;
        history.store().startCompaction([&](StoreStatus status) { ended = std::move(status); });
        for (int step = 0; step < 200 && !ended; ++step) {
          history.store().runMaintenance(history.now);
          expectRecoversAndContinues(disk.afterPowerLoss(choice % 4), history.model, history.now,
                                     where + ", step " + std::to_string(step));
          if (HasFatalFailure()) return;
        }
        ASSERT_TRUE(ended);
      }
}

RC_GTEST_PROP(StoreHistory, AgreesWithTheReferenceModel, (std::uint64_t seed)) {
  SimulatedDisk disk;
  OperationHistory history(disk, seed);
  RC_ASSERT(history.open());
  for (int round = 0; round < 4; ++round) {
    history.run(12);
    RC_ASSERT(history.contradictions() == "");
    RC_ASSERT(disk.peakBytes <= smallSettings().maxDiskBytes);
  }
}

}  // namespace
}  // namespace rainhook::store
