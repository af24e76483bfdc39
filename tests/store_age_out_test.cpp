/// @file
/// Tests of entries that aged out: damage to the manifest or a kill restores no value that was erased or
/// overwritten meanwhile.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "store/file_names.h"
#include "store_operation_history.h"

namespace rainhook::store {
namespace {

/// Returns limits under which the index has room for some eight entries.
StoreSettings settingsWithSmallIndex() {
  StoreSettings out = smallSettings();
  out.maxIndexBytes = 8 * 192;
  return out;
}

/// Returns the same with segments that twenty entries do not fill.
StoreSettings settingsWithOneSegment() {
  StoreSettings out = settingsWithSmallIndex();
  out.maxSegmentBytes = 8 << 10;
  return out;
}

std::set<std::string> allKeys(const ReferenceModel& model) {
  std::set<std::string> out;
  for (const auto& [key, states] : model.states()) out.insert(key);
  return out;
}

/// Writes more entries than the index has room for, the first of them `key0`, and lets the oldest age out.
void fillUntilFirstEntryAgesOut(OperationHistory& history) {
  for (std::uint64_t i = 0; i < 20; ++i) history.commit({WriteRequest::put(numbered("key", i), "v")});
  history.runAllMaintenance();
  ASSERT_FALSE(history.store().get("key0", history.now).value) << "the first entry has not aged out";
}

/// Opens a store on the files and returns the value of the key.
std::optional<std::string> valueIn(const std::map<std::string, std::string>& image, const std::string& key,
                                   std::optional<UnixTime> now = std::nullopt) {
  SimulatedDisk disk = SimulatedDisk::withFiles(image);
  OperationHistory history(disk, 1, settingsWithOneSegment());
  EXPECT_TRUE(history.open());
  return history.store().get(key, now.value_or(history.now)).value;
}

// Guards against an erased key that has its value again after the manifest was cut. The key had aged out, so
// that its erasure wrote no record, and only the manifest said that the key's record does not count.
TEST(StoreAgeOut, ErasedKeyStaysErasedWhenTheManifestIsCutAtAnyByte) {
  SimulatedDisk disk;
  OperationHistory history(disk, 1, settingsWithOneSegment());
  ASSERT_TRUE(history.open());
  ASSERT_NO_FATAL_FAILURE(fillUntilFirstEntryAgesOut(history));
  history.store().close();
  ASSERT_TRUE(history.open());
  history.commit({WriteRequest::erase("key0")});
  history.store().close();
  auto image = disk.image();
  const std::string manifest = image.at(manifestFileName);
  for (std::size_t at = 0; at <= manifest.size(); ++at) {
    image[manifestFileName] = manifest.substr(0, at);
    ASSERT_EQ(valueIn(image, "key0"), std::nullopt) << "manifest cut at " << at;
  }
  image.erase(manifestFileName);
  EXPECT_EQ(valueIn(image, "key0"), std::nullopt) << "manifest missing";
}

// Guards against an erased key that has its value again after a kill. The key had aged out in memory, and the
// manifest that says so had not been written.
TEST(StoreAgeOut, ErasedKeyStaysErasedWhenTheProcessIsKilledBeforeTheManifestIsWritten) {
  SimulatedDisk disk;
  OperationHistory history(disk, 1, settingsWithOneSegment());
  ASSERT_TRUE(history.open());
  ASSERT_NO_FATAL_FAILURE(fillUntilFirstEntryAgesOut(history));
  history.commit({WriteRequest::erase("key0")});
  history.kill();
  ASSERT_TRUE(history.open());
  EXPECT_EQ(history.store().get("key0", history.now).value, std::nullopt);
}

// Guards against the older value of a key that was overwritten by a value that has expired. A compaction
// drops the expired record, which is above the floor, while the older record below the floor remains.
TEST(StoreAgeOut, OverwrittenValueDoesNotReturnWhenItsSuccessorExpiredAndTheManifestIsMissing) {
  SimulatedDisk disk;
  OperationHistory history(disk, 1, settingsWithSmallIndex());
  ASSERT_TRUE(history.open());
  // The first segment is full with nine entries, of which the first one ages out.
  for (std::uint64_t i = 0; i < 9; ++i) history.commit({WriteRequest::put(numbered("key", i), "old")});
  history.runAllMaintenance();
  ASSERT_FALSE(history.store().get("key0", history.now).value);
  const UnixTime expiry = history.now + std::chrono::milliseconds(10);
  history.commit({WriteRequest::put("key0", "new", expiry)});
  // The second segment contains only the record of key0 and overwritten ones.
  for (std::uint64_t i = 0; i < 12; ++i) history.commit({WriteRequest::put("other", numbered("v", i))});
  history.now = expiry;
  history.runAllMaintenance();
  auto image = disk.image();
  ASSERT_TRUE(image.contains(segmentFileName(SegmentNumber{1}))) << "the older record was compacted";
  ASSERT_FALSE(image.contains(segmentFileName(SegmentNumber{2}))) << "the expired record was not compacted";
  image.erase(manifestFileName);
  EXPECT_EQ(valueIn(image, "key0", history.now), std::nullopt);
}

// Guards against an older value when a write whose expiry has passed, which is an erasure, has its key aged
// out and the process is killed.
TEST(StoreAgeOut, KeyStaysErasedByAnExpiredWriteWhenTheProcessIsKilled) {
  SimulatedDisk disk;
  OperationHistory history(disk, 1, settingsWithOneSegment());
  ASSERT_TRUE(history.open());
  ASSERT_NO_FATAL_FAILURE(fillUntilFirstEntryAgesOut(history));
  history.commit({WriteRequest::put("key0", "expired", history.now)});
  history.kill();
  ASSERT_TRUE(history.open());
  EXPECT_EQ(history.store().get("key0", history.now).value, std::nullopt);
}

// Guards against an older value after the manifest was lost: a compaction drops the current record of a key
// that has aged out while an older record of it is still in another segment.
TEST(StoreAgeOut, ReturnsNoOlderValueWhenTheManifestIsMissingAfterAnyHistory) {
  std::uint64_t agedOut = 0;
  std::uint64_t compactions = 0;
  for (std::uint64_t seed = 1; seed <= 150; ++seed) {
    SimulatedDisk disk;
    OperationHistory history(disk, seed, settingsWithSmallIndex());
    ASSERT_TRUE(history.open());
    for (int round = 0; round < 12; ++round) {
      history.run(10);
      agedOut += history.store().statistics().agedOutEntries;
      compactions += history.store().statistics().compactions;
      auto image = disk.image();
      image.erase(manifestFileName);
      SimulatedDisk damaged = SimulatedDisk::withFiles(image);
      OperationHistory after(damaged, 1, settingsWithSmallIndex());
      after.now = history.now;
      after.model = history.model;
      const auto mayBeMissing = allKeys(after.model);
      ASSERT_TRUE(after.open());
      ASSERT_EQ(after.model.contradictions(after.store(), after.now, mayBeMissing), "")
          << "seed " << seed << ", round " << round;
      after.compactAll();
      ASSERT_EQ(after.model.contradictions(after.store(), after.now, mayBeMissing), "")
          << "seed " << seed << ", round " << round << ", after compaction";
    }
  }
  EXPECT_GT(agedOut, 0u);
  EXPECT_GT(compactions, 0u);
}

// Guards against an older value when the machine crashes at any operation and entries age out meanwhile.
TEST(StoreAgeOut, ReturnsNoOlderValueWhenTheMachineCrashesAtAnyOperation) {
  constexpr int steps = 60;
  constexpr int survivalChoices = 5;
  for (std::uint64_t seed = 13; seed <= 15; ++seed) {
    SimulatedDisk uninterrupted;
    OperationHistory first(uninterrupted, seed, settingsWithSmallIndex());
    ASSERT_TRUE(first.open());
    first.run(steps);
    for (std::uint64_t at = 0; at < uninterrupted.operations; ++at) {
      SimulatedDisk disk;
      disk.crashAt = at;
      OperationHistory history(disk, seed, settingsWithSmallIndex());
      if (history.open()) history.run(steps);
      history.kill();
      for (int choice = 0; choice < survivalChoices; ++choice) {
        SimulatedDisk survived = disk.afterPowerLoss(choice);
        OperationHistory after(survived, 1, settingsWithSmallIndex());
        after.now = history.now;
        after.model = history.model;
        ASSERT_TRUE(after.open());
        ASSERT_EQ(after.model.contradictions(after.store(), after.now, allKeys(after.model)), "")
            << "seed " << seed << ", crash at " << at << ", choice " << choice;
      }
    }
  }
}

// Guards against an older value after two faults that follow each other: a lost segment, whose possible
// erasures make recovery discard all older entries, and then a lost manifest.
TEST(StoreAgeOut, DiscardedEntriesStayDiscardedWhenTheManifestIsMissingLater) {
  SimulatedDisk disk;
  OperationHistory history(disk, 1);
  ASSERT_TRUE(history.open());
  history.commit({WriteRequest::put("key0", "old")});
  ASSERT_TRUE(history.open());  // reopening seals the segment
  history.commit({WriteRequest::erase("key0")});
  history.store().close();
  auto image = disk.image();
  image.erase(segmentFileName(SegmentNumber{2}));
  image.erase(hintFileName(SegmentNumber{2}));
  SimulatedDisk damaged = SimulatedDisk::withFiles(image);
  OperationHistory after(damaged, 1);
  ASSERT_TRUE(after.open());
  EXPECT_EQ(after.store().get("key0", after.now).value, std::nullopt);
  after.store().close();
  image = damaged.image();
  image.erase(manifestFileName);
  EXPECT_EQ(valueIn(image, "key0"), std::nullopt);
}

}  // namespace
}  // namespace rainhook::store
