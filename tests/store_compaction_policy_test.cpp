/// @file
/// Tests of CompactionPolicy: the choice of the next segment to compact, and the limits on disk space.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "store/compaction_policy.h"
#include "store_operation_history.h"

namespace rainhook::store {
namespace {

SegmentInfo sealed(std::uint64_t number, std::uint64_t bytes, std::uint64_t liveBytes) {
  return {SegmentNumber{number}, bytes, liveBytes, true, false, false};
}

TEST(StoreCompactionPolicy, SelectsUntrustedThenEmptyThenDamagedThenLargestDeadShare) {
  const CompactionPolicy policy(StoreSettings{});
  StoreOccupancy occupancy{4000, 0, {sealed(1, 1000, 900), sealed(2, 1000, 400), sealed(3, 1000, 300)}};
  EXPECT_EQ(policy.selectInput(occupancy), SegmentNumber{3});
  occupancy.segments[0].isDamaged = true;
  EXPECT_EQ(policy.selectInput(occupancy), SegmentNumber{1});
  occupancy.segments[1].liveBytes = 0;
  EXPECT_EQ(policy.selectInput(occupancy), SegmentNumber{2});
  occupancy.segments[0].isUntrusted = true;
  EXPECT_EQ(policy.selectInput(occupancy), SegmentNumber{1});
  occupancy.segments[0].isSealed = false;
  EXPECT_EQ(policy.selectInput(occupancy), SegmentNumber{2})
      << "a segment that is being written must not be compacted";
}

TEST(StoreCompactionPolicy, RequiresSmallerDeadShareWhenFreeSpaceDecreases) {
  const StoreSettings settings;
  const CompactionPolicy policy(settings);
  StoreOccupancy occupancy{0, 0, {sealed(1, 1000, 700)}};
  EXPECT_EQ(policy.selectInput(occupancy), std::nullopt);
  occupancy.folderBytes = (settings.maxDiskBytes - policy.reservedBytes()) * 80 / 100;
  EXPECT_EQ(policy.selectInput(occupancy), SegmentNumber{1});
  occupancy.segments[0].liveBytes = 900;
  EXPECT_EQ(policy.selectInput(occupancy), std::nullopt);
  occupancy.folderBytes = (settings.maxDiskBytes - policy.reservedBytes()) * 95 / 100;
  EXPECT_EQ(policy.selectInput(occupancy), SegmentNumber{1});
  occupancy.segments[0].liveBytes = 1000;
  EXPECT_EQ(policy.selectInput(occupancy), std::nullopt) << "a copy would free nothing";
}

RC_GTEST_PROP(StoreCompactionPolicy, AllowsNoWriteOrCopyThatExceedsTheDiskLimit,
              (std::uint32_t folderBytes, std::uint16_t bytes)) {
  const StoreSettings settings = smallSettings();
  const CompactionPolicy policy(settings);
  if (policy.canWrite(folderBytes, bytes))
    RC_ASSERT(folderBytes + bytes + settings.maxSegmentBytes <= settings.maxDiskBytes);
  if (policy.canCopy(folderBytes, bytes)) RC_ASSERT(folderBytes + bytes <= settings.maxDiskBytes);
}

}  // namespace
}  // namespace rainhook::store
