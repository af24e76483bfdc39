/// @file
/// Tests of the byte formats: records, the manifest, compressed values.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "store/file_names.h"
#include "store/manifest.h"
#include "store/record_format.h"
#include "store_operation_history.h"

namespace rainhook::store {
namespace {

using std::chrono::milliseconds;

// Guards against accepting the bytes of a record that were copied to another offset or to another segment.
RC_GTEST_PROP(StoreFormat, ReadsARecordOnlyAtItsOwnPosition,
              (const std::string& key, const std::string& value, std::uint64_t sequence,
               std::uint16_t offset)) {
  const RecordPosition position{{FileKind::segment, StoreId{5}, SegmentNumber{6}}, offset};
  std::string bytes;
  appendRecord(bytes, {RecordKind::put, false, SequenceNumber{sequence}, neverExpires, key, value}, position);
  const auto read = readRecord(bytes, position);
  RC_ASSERT(read.state == RecordReadResult::State::complete);
  RC_ASSERT(read.record.key == key && read.record.value == value &&
            read.record.sequence == SequenceNumber{sequence});
  for (std::size_t cut = 0; cut < bytes.size(); ++cut)
    RC_ASSERT(readRecord(std::string_view(bytes).substr(0, cut), position).state ==
              RecordReadResult::State::needsMoreBytes);
  RecordPosition elsewhere = position;
  elsewhere.offset += 1;
  RC_ASSERT(readRecord(bytes, elsewhere).state == RecordReadResult::State::notARecord);
  elsewhere = position, elsewhere.file.segment = SegmentNumber{7};
  RC_ASSERT(readRecord(bytes, elsewhere).state == RecordReadResult::State::notARecord);
}

TEST(StoreFormat, RejectsAManifestWhenAnyByteIsCorruptOrMissing) {
  const Manifest manifest{
      StoreId{9},
      SegmentNumber{4},
      SequenceNumber{99},
      SequenceNumber{7},
      {{SequenceNumber{50}, UnixTime{milliseconds(5)}}},
      {{SegmentNumber{2}, true, 123, SequenceNumber{40}}, {SegmentNumber{3}, false, 0, {}}}};
  const auto bytes = encodeManifest(manifest);
  EXPECT_EQ(decodeManifest(bytes).manifest, manifest);
  for (std::size_t at = 0; at < bytes.size(); ++at) {
    auto corrupt = bytes;
    corrupt[at] = static_cast<char>(corrupt[at] ^ 4);
    EXPECT_FALSE(decodeManifest(corrupt).manifest) << at;
    EXPECT_FALSE(decodeManifest(std::string_view(bytes).substr(0, at)).manifest) << at;
  }
}

TEST(StoreFormat, CompressesLongValues) {
  SimulatedDisk disk;
  OperationHistory history(disk, 1);
  ASSERT_TRUE(history.open());
  history.commit({WriteRequest::put("key1", std::string(150, 'a'))});
  EXPECT_LT(disk.image().at(segmentFileName(SegmentNumber{1})).size(), 150u);
  EXPECT_EQ(history.store().get("key1", history.now).value, std::string(150, 'a'));
}

}  // namespace
}  // namespace rainhook::store
