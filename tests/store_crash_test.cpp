/// @file
/// Tests of the store with crashes and disk failures: whichever unsynced data is lost, recovery succeeds and
/// the store returns all acknowledged writes.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>

#include "store_operation_history.h"

namespace rainhook::store {
namespace {

constexpr int steps = 70;           // the number of steps in a history
constexpr int survivalChoices = 5;  // the number of outcomes of each power loss

/// The number of seeds to try; RAINHOOK_SEEDS overrides it for a longer search.
std::uint64_t seedCount(std::uint64_t defaultCount) {
  const char* requested = std::getenv("RAINHOOK_SEEDS");
  return requested ? std::strtoull(requested, nullptr, 10) : defaultCount;
}

/// Opens the store on the disk that a crash left, checks its reads, continues writing, and reopens it.
void expectRecoversAndContinues(SimulatedDisk disk, ReferenceModel model, UnixTime now,
                                const std::string& context) {
  OperationHistory after(disk, 5);
  after.now = now;
  after.model = std::move(model);
  ASSERT_TRUE(after.open()) << context;
  ASSERT_EQ(after.contradictions(), "") << context << " after recovery";
  ASSERT_EQ(after.store().statistics().lostRecords, 0u) << context;
  after.runAllMaintenance();
  ASSERT_EQ(after.contradictions(), "") << context << " after compaction";
  after.run(15);
  ASSERT_EQ(after.contradictions(), "") << context << " after more writes";
  ASSERT_TRUE(after.open()) << context;
  ASSERT_EQ(after.contradictions(), "") << context << " after another recovery";
}

// Guards against losing an acknowledged write when the machine crashes during any one disk operation.
TEST(StoreCrash, LosesNoAcknowledgedWriteAtAnyOperation) {
  for (std::uint64_t seed = 1; seed <= seedCount(3); ++seed) {
    SimulatedDisk uninterrupted;
    OperationHistory first(uninterrupted, seed);
    ASSERT_TRUE(first.open());
    first.run(steps);
    ASSERT_EQ(first.contradictions(), "");
    ASSERT_GT(first.earlierCompactions + first.store().statistics().compactions, 0u);
    for (std::uint64_t at = 0; at < uninterrupted.operations; ++at) {
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

// Guards against losing an acknowledged write when a second crash interrupts the recovery from the first one.
TEST(StoreCrash, LosesNoAcknowledgedWriteWhenRepeatedDuringRecovery) {
  SimulatedDisk uninterrupted;
  OperationHistory first(uninterrupted, 4);
  ASSERT_TRUE(first.open());
  first.run(steps);
  for (std::uint64_t at = 3; at < uninterrupted.operations; at += 11) {
    SimulatedDisk disk;
    disk.crashAt = at;
    OperationHistory history(disk, 4);
    if (history.open()) history.run(steps);
    history.kill();
    for (int choice = 0; choice < 3; ++choice) {
      const auto afterCrash = disk.afterPowerLoss(choice);
      for (std::uint64_t secondCrashAt = 0;; ++secondCrashAt) {
        SimulatedDisk second = afterCrash;
        // A copy of the disk shares its inodes, so the bytes are copied separately.
        second = SimulatedDisk::withFiles(second.image());
        second.crashAt = secondCrashAt;
        OperationHistory recovering(second, 5);
        recovering.now = history.now;
        recovering.open();
        recovering.kill();
        const bool isRecoveryComplete = second.operations <= secondCrashAt;
        expectRecoversAndContinues(
            second.afterPowerLoss(static_cast<int>(secondCrashAt % survivalChoices)), history.model,
            history.now,
            "crash at " + std::to_string(at) + ", second crash at " + std::to_string(secondCrashAt));
        if (HasFatalFailure()) return;
        if (isRecoveryComplete) break;
      }
    }
  }
}

// Guards against losing an acknowledged write after a disk error. Each fault occurs once, at each operation;
// the process continues, and later the power fails.
TEST(StoreDiskError, LosesNoAcknowledgedWriteAtAnyOperation) {
  for (std::uint64_t seed = 6; seed < 6 + seedCount(1); ++seed)
    for (const int fault : {EIO, ENOSPC, EMFILE, SimulatedDisk::shortWrite}) {
      SimulatedDisk uninterrupted;
      OperationHistory first(uninterrupted, seed);
      ASSERT_TRUE(first.open());
      first.run(steps);
      for (std::uint64_t at = 0; at < uninterrupted.operations; ++at) {
        SimulatedDisk disk;
        disk.faults[at] = fault;
        OperationHistory history(disk, seed);
        const auto context =
            "seed " + std::to_string(seed) + ", fault " + std::to_string(fault) + " at " + std::to_string(at);
        ASSERT_TRUE(history.open()) << context;
        history.run(steps);
        ASSERT_EQ(history.contradictions(), "") << context;
        history.kill();
        for (const int choice : {0, 2}) {
          expectRecoversAndContinues(disk.afterPowerLoss(choice), history.model, history.now,
                                     context + ", choice " + std::to_string(choice));
          if (HasFatalFailure()) return;
        }
      }
    }
}

// Guards against acknowledging a write without a successful sync, and against creating files without limit
// while every sync fails.
TEST(StoreDiskError, AcknowledgesNoWriteWhenEverySyncFails) {
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
  EXPECT_LE(disk.files.size(), names + 6) << "retries must not fill a failing disk with files";
  disk.everySyncFault = 0;
  history.runAllMaintenance();
  EXPECT_TRUE(history.store().commit(writes, history.now).front().isOk());
  history.model.recordWrite(writes[0], true);
  EXPECT_EQ(history.contradictions(), "");
  history.kill();
  expectRecoversAndContinues(disk.afterPowerLoss(0), history.model, history.now,
                             "after the syncs succeeded again");
}

// Guards against trusting data whose sync failed in an earlier process. The next process does not know of the
// failure, and its own sync succeeds without making the data durable.
TEST(StoreDiskError, LosesNoAcknowledgedWriteWhenSyncsFailedInAnEarlierProcess) {
  SimulatedDisk disk;
  OperationHistory history(disk, 13);
  ASSERT_TRUE(history.open());
  // The second round overwrites every other key, so that half of each segment is dead.
  for (std::uint64_t i = 0; i < 18; ++i)
    history.commit({WriteRequest::put(numbered("key", i < 12 ? i : (i - 12) * 2), std::string(40, 'a'))});
  while (history.store().statistics().compactedBytes == 0)
    ASSERT_TRUE(history.store().runMaintenance(history.now));
  ASSERT_EQ(history.store().statistics().compactions, 0u)
      << "the disk must contain unsynced copies and their input";
  disk.everySyncFault = EIO;
  ASSERT_TRUE(history.open());
  disk.everySyncFault = 0;
  ASSERT_TRUE(history.open());
  ASSERT_TRUE(history.open()) << "this process knows of the failed sync only from the manifest";
  history.runAllMaintenance();
  expectRecoversAndContinues(disk.afterPowerLoss(0), history.model, history.now,
                             "after a recovery whose syncs failed");
}

// Guards against lost writes after the process runs out of file descriptors (EMFILE) for some time.
TEST(StoreDiskError, LosesNoAcknowledgedWriteWhenDescriptorsRunOut) {
  SimulatedDisk disk;
  OperationHistory history(disk, 8);
  ASSERT_TRUE(history.open());
  history.run(30);
  disk.everyOpenFault = EMFILE;
  history.run(30);
  history.runAllMaintenance();
  disk.everyOpenFault = 0;
  ASSERT_TRUE(history.open()) << "an earlier start without descriptors may have failed";
  EXPECT_EQ(history.contradictions(), "");
  history.run(30);
  EXPECT_EQ(history.contradictions(), "");
  history.kill();
  expectRecoversAndContinues(disk.afterPowerLoss(0), history.model, history.now, "after descriptors ran out");
}

// Guards against lost writes when the disk becomes full during a commit or a compaction.
TEST(StoreDiskError, LosesNoAcknowledgedWriteWhenTheDiskIsFull) {
  std::uint64_t failed = 0;
  for (std::uint64_t freeBytes = 0; freeBytes < 3000; freeBytes += 60) {
    SimulatedDisk disk;
    OperationHistory history(disk, 9);
    ASSERT_TRUE(history.open());
    history.run(40);
    disk.capacity = disk.usedBytes() + freeBytes;
    history.run(40);
    history.runAllMaintenance();
    ASSERT_EQ(history.contradictions(), "") << freeBytes;
    failed += history.store().statistics().failedWrites;
    disk.capacity = SimulatedDisk::unlimited;
    const std::vector<WriteRequest> writes{WriteRequest::put("key2", "room again")};
    ASSERT_TRUE(history.store().commit(writes, history.now).front().isOk()) << freeBytes;
    history.model.recordWrite(writes[0], true);
    history.kill();
    expectRecoversAndContinues(disk.afterPowerLoss(0), history.model, history.now,
                               "free bytes " + std::to_string(freeBytes));
    if (HasFatalFailure()) return;
  }
  EXPECT_GT(failed, 100u) << "the disk was never full";
}

// Guards against opening an interrupted snapshot as a store: it may contain older records without the records
// that erased them.
TEST(StoreSnapshot, IsRejectedOrCompleteWhenInterruptedAtAnyOperation) {
  std::uint64_t operations = 1;
  for (std::uint64_t at = 0; at <= operations; ++at) {
    SimulatedDisk disk;
    SimulatedDisk destination;
    OperationHistory history(disk, 10);
    ASSERT_TRUE(history.open());
    history.run(40);
    destination.crashAt = at;
    std::optional<StoreStatus> ended;
    auto modelAtStart = history.model;
    const auto started =
        history.store().startSnapshot(std::make_unique<CrashSimulatingDisk>(destination),
                                      [&](StoreStatus status) { ended = std::move(status); });
    if (!started.isOk()) ended = started;
    for (int i = 0; i < 2000 && !ended; ++i) {
      history.store().runMaintenance(history.now);
      if (i % 3 == 0)
        history.commit(
            {WriteRequest::put(numbered("key", static_cast<std::uint64_t>(i % 12)), "while copying")});
    }
    ASSERT_TRUE(ended);
    ASSERT_EQ(history.contradictions(), "");
    operations = std::max(operations, destination.operations);
    for (int choice = 0; choice < survivalChoices; ++choice) {
      SimulatedDisk found = destination.afterPowerLoss(choice);
      OperationHistory openedSnapshot(found, 11);
      openedSnapshot.now = history.now;
      // An interrupted snapshot is rejected or contains no files of the store. A complete snapshot has the
      // contents that the store had when the snapshot started.
      const bool opened = openedSnapshot.open();
      // Opening an empty folder creates one file, the manifest of an empty store.
      const bool hasSnapshotFiles = found.files.size() > 1 || ended->isOk();
      if (opened && hasSnapshotFiles) {
        ASSERT_EQ(modelAtStart.contradictions(openedSnapshot.store(), history.now), "")
            << at << ", choice " << choice;
      }
      ASSERT_TRUE(opened || !ended->isOk()) << at << ", choice " << choice;
    }
  }
}

// Guards against a failed write that reappears after an acknowledged erasure. Recovery may find the record of
// a failed write, because its file was not truncated or the truncation was lost in a power loss.
TEST(StoreDiskError, AcknowledgedErasureOverridesAnEarlierFailedWrite) {
  for (const bool hasOlderRecord : {false, true})
    for (const bool syncFails : {true, false})
      for (int choice = 0; choice < 40; ++choice) {
        SimulatedDisk disk;
        OperationHistory history(disk, 12);
        ASSERT_TRUE(history.open());
        // The second entry keeps enough of the segment live that it is not compacted first.
        if (hasOlderRecord)
          history.commit({WriteRequest::put("key1", "older"),
                          WriteRequest::put("keeper", "0123456789abcdefghijklmnopqrstuvwxyz")});
        ASSERT_TRUE(history.open());  // puts the older record into a separate segment
        history.commit({WriteRequest::put("other", "there")});
        const auto next = disk.operations;
        disk.everyOpenFault = EMFILE;  // no new segment can be created for a second attempt
        if (syncFails) {
          disk.faults[next + 1] = EIO;  // the sync after the write fails; the truncation succeeds
        } else {
          // Half of the data is written, including the complete record of key1. The rest of the write and the
          // truncation fail.
          disk.faults[next] = SimulatedDisk::shortWrite;
          disk.faults[next + 1] = EIO;
          disk.faults[next + 2] = EIO;
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
        const auto context = std::string(hasOlderRecord ? "older record, " : "") +
                             (syncFails ? "sync" : "truncation") + ", choice " + std::to_string(choice);
        expectRecoversAndContinues(disk.afterPowerLoss(choice), history.model, history.now, context);
        if (HasFatalFailure()) return;
        // The power fails after each step of a full compaction.
        std::optional<StoreStatus> ended;
        history.store().startCompaction([&](StoreStatus status) { ended = std::move(status); });
        for (int step = 0; step < 200 && !ended; ++step) {
          history.store().runMaintenance(history.now);
          expectRecoversAndContinues(disk.afterPowerLoss(choice % 4), history.model, history.now,
                                     context + ", step " + std::to_string(step));
          if (HasFatalFailure()) return;
        }
        ASSERT_TRUE(ended);
      }
}

RC_GTEST_PROP(StoreHistory, AgreesWithTheReferenceModelForAnySeed, (std::uint64_t seed)) {
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
