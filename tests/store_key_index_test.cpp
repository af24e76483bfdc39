/// @file
/// Tests of KeyIndex: which record of a key is current, and how long a deleted key stays in the index.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <tuple>
#include <vector>

#include "store/key_index.h"
#include "store_operation_history.h"

namespace rainhook::store {
namespace {

// Guards against a deleted key that returns after a restart because its tombstone was dropped before the
// older record of the key.
TEST(StoreKeyIndex, RemembersADeletedKeyWhileAnOlderRecordIsOnDisk) {
  KeyIndex index;
  index.addRecord("k", RecordKind::put, SequenceNumber{1}, neverExpires, {SegmentNumber{1}, 40, 60});
  index.addRecord("k", RecordKind::erase, SequenceNumber{2}, neverExpires, {SegmentNumber{2}, 40, 50});
  EXPECT_EQ(index.liveBytesIn(SegmentNumber{1}), 0u);
  EXPECT_GT(index.liveBytesIn(SegmentNumber{2}), 0u) << "the erasure must be copied while the put is on disk";
  index.removeRecord("k", SequenceNumber{1});
  EXPECT_EQ(index.liveBytesIn(SegmentNumber{2}), 0u);
  ASSERT_NE(index.find("k"), nullptr);
  index.removeRecord("k", SequenceNumber{2});
  EXPECT_EQ(index.find("k"), nullptr);
  EXPECT_EQ(index.memoryBytes(), 0u);
}

TEST(StoreKeyIndex, OrdersALostRecordByItsOwnSequenceNumber) {
  KeyIndex index;
  index.addRecord("a", RecordKind::put, SequenceNumber{1}, neverExpires, {SegmentNumber{1}, 40, 60});
  index.addRecord("b", RecordKind::put, SequenceNumber{2}, neverExpires, {SegmentNumber{1}, 100, 60});
  EXPECT_TRUE(index.markLost("a", SequenceNumber{5}, SegmentNumber{2}));
  index.sortByAge();
  EXPECT_EQ(index.raiseFloor(SequenceNumber{3}), 1u)
      << "an older entry that follows the lost one must age out";
  EXPECT_EQ(index.find("b"), nullptr);
  ASSERT_NE(index.find("a"), nullptr);
  EXPECT_EQ(index.find("a")->state, EntryState::lost);
}

// Guards against an index that depends on the order in which recovery reads the segments.
RC_GTEST_PROP(StoreKeyIndex, HasTheSameContentsForAnyOrderOfRecords, (std::uint32_t seed)) {
  struct Row {
    std::string key;
    RecordKind kind;
    SequenceNumber sequence;
    RecordLocation location;
  };
  RandomSource random(seed);
  std::vector<Row> rows;
  for (std::uint32_t i = 0; i < 30; ++i)
    rows.push_back({numbered("k", randomBelow(random, 4)),
                    randomBelow(random, 3) == 0 ? RecordKind::erase : RecordKind::put,
                    SequenceNumber{i + 1},
                    {SegmentNumber{randomBelow(random, 5) + 1}, i * 100 + 40, 80}});
  const auto contentsOf = [](const std::vector<Row>& allRows) {
    KeyIndex out;
    for (const Row& row : allRows) out.addRecord(row.key, row.kind, row.sequence, neverExpires, row.location);
    out.sortByAge();
    std::vector<std::tuple<std::string, SequenceNumber, SegmentNumber>> live;
    out.scanByAge(std::nullopt, [&](const IndexEntry& entry) {
      return live.emplace_back(entry.key, entry.sequence, entry.location.segment), true;
    });
    return std::tuple(live, out.memoryBytes(), out.liveBytes());
  };
  auto shuffled = rows;
  for (std::size_t i = shuffled.size(); i > 1; --i)
    std::swap(shuffled[i - 1], shuffled[randomBelow(random, static_cast<std::uint32_t>(i))]);
  RC_ASSERT(contentsOf(rows) == contentsOf(shuffled));
}

}  // namespace
}  // namespace rainhook::store
