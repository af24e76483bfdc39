/// @file
/// Tests of the limits on the folder and the index, and of what is compacted and ages out under them.
#include <gtest/gtest.h>

#include <map>
#include <string>

#include "store_operation_history.h"

namespace rainhook::store {
namespace {

// Guards against a folder that exceeds its limit at any time, and against entries that age out before older
// ones.
TEST(StoreLimits, FolderStaysWithinItsLimitAndOldestEntriesAgeOutWhenWritesContinue) {
  SimulatedDisk disk;
  auto settings = smallSettings();
  settings.maxDiskBytes = 24 << 10;
  OperationHistory history(disk, 1, settings);
  ASSERT_TRUE(history.open());
  RandomSource random(3);
  for (int i = 0; i < 1500; ++i) {
    std::string value;
    for (int c = 0; c < 60; ++c) value += static_cast<char>('a' + randomBelow(random, 26));
    const std::vector<WriteRequest> writes{
        WriteRequest::put(numbered("n", static_cast<std::uint64_t>(i)), value)};
    ASSERT_TRUE(history.store().commit(writes, history.now).front().isOk()) << i;
    ASSERT_LE(disk.peakBytes, settings.maxDiskBytes) << i;
    if (i % 7 == 0) history.store().runMaintenance(history.now);
    if (i % 100 == 99) {
      ASSERT_TRUE(history.open()) << i;
    }
  }
  EXPECT_GT(history.store().statistics().entries, 20u);
  const auto oldest = history.store().scanByAge(std::nullopt, 1, history.now).rows.front().key;
  EXPECT_TRUE(history.store().get("n1499", history.now).value);
  const int first = std::stoi(oldest.substr(1));
  for (int i = first; i < 1500; ++i)
    EXPECT_TRUE(history.store().get(numbered("n", static_cast<std::uint64_t>(i)), history.now).value)
        << i << " aged out before an older entry";
}

// Guards against live entries that age out although compaction could free space. No maintenance runs between
// the commits, so the folder fills to its limit; half of its bytes are live and none of them may age out.
TEST(StoreLimits, CommitsCompactAFullFolderWithoutAgeingOut) {
  SimulatedDisk disk;
  auto settings = smallSettings();
  settings.maxDiskBytes = 24 << 10;
  OperationHistory history(disk, 1, settings);
  ASSERT_TRUE(history.open());
  RandomSource random(8);
  std::map<std::string, std::string> latest;
  for (std::uint64_t i = 0; i < 3000; ++i) {
    const auto key = numbered("n", randomBelow(random, 40));
    const auto value = std::to_string(i) + std::string(40, 'v');
    ASSERT_TRUE(history.store()
                    .commit(std::vector<WriteRequest>{WriteRequest::put(key, value)}, history.now)
                    .front()
                    .isOk());
    latest[key] = value;
    ASSERT_LE(disk.peakBytes, settings.maxDiskBytes);
  }
  EXPECT_EQ(history.store().statistics().agedOutEntries, 0u);
  for (const auto& [key, value] : latest) EXPECT_EQ(history.store().get(key, history.now).value, value);
}

TEST(StoreLimits, IndexIsBoundedAndOldEntriesAgeOutWhenKeysAreAdded) {
  SimulatedDisk disk;
  auto settings = smallSettings();
  settings.maxDiskBytes = 256 << 10, settings.maxIndexBytes = 20'000;
  OperationHistory history(disk, 1, settings);
  ASSERT_TRUE(history.open());
  for (int i = 0; i < 400; ++i) {
    history.commit({WriteRequest::put(numbered("n", static_cast<std::uint64_t>(i)), "v")});
    history.store().runMaintenance(history.now);
    EXPECT_LE(history.store().statistics().indexBytes, settings.maxIndexBytes + 2000);
  }
  EXPECT_GT(history.store().statistics().agedOutEntries, 0u);
  EXPECT_EQ(history.store().get("n399", history.now).value, "v");
}

TEST(StoreLimits, CompactionFreesDiskAndIndexWhenAllKeysAreErased) {
  SimulatedDisk disk;
  OperationHistory history(disk, 1);
  ASSERT_TRUE(history.open());
  for (int i = 0; i < 100; ++i)
    history.commit({WriteRequest::put(numbered("n", static_cast<std::uint64_t>(i)), std::string(40, 'x'))});
  for (int i = 0; i < 100; ++i)
    history.commit({WriteRequest::erase(numbered("n", static_cast<std::uint64_t>(i)))});
  history.compactAll();
  history.compactAll();
  EXPECT_LT(disk.usedBytes(), 1000u);
  EXPECT_EQ(history.store().statistics().indexBytes, 0u)
      << "no record on disk could restore the erased keys, so none may be remembered";
}

}  // namespace
}  // namespace rainhook::store
