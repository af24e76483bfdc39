/// @file
/// Tests of damage to a closed store: files truncated at every byte, flipped bits, missing segments, foreign
/// files in the folder. A key may be missing if its latest record is damaged, but the store never returns an
/// older or a wrong value.
#include <gtest/gtest.h>

#include <functional>

#include "store/file_names.h"
#include "store/manifest.h"
#include "store/record_scanner.h"
#include "store/verifier.h"
#include "store_operation_history.h"

namespace rainhook::store {
namespace {

/// The files that a history left, and the values that a store opened on them may return.
struct RecordedHistory {
  struct RecordRange {
    std::string file;
    std::uint64_t offset = 0;
    std::uint64_t bytes = 0;
  };

  std::map<std::string, std::string> image;
  ReferenceModel model;
  UnixTime now;
  /// The ranges that contain the latest record of each key; there are several after an interrupted
  /// compaction.
  std::map<std::string, std::vector<RecordRange>> latest;
  /// Whether the history contained erasures, expiries and compactions and left several segments.
  bool isVaried = false;
};

enum class HistoryEnd { closed, killed };

RecordedHistory recordHistory(std::uint64_t seed, int steps, HistoryEnd end) {
  SimulatedDisk disk;
  OperationHistory history(disk, seed);
  EXPECT_TRUE(history.open());
  history.run(steps);
  if (end == HistoryEnd::closed) history.store().close();
  history.model.expire(history.now);
  const auto statistics = history.store().statistics();
  RecordedHistory out{disk.image(), history.model, history.now, {}, {}};
  out.isVaried = history.erasures > 0 && history.earlierExpiredEntries + statistics.expiredEntries > 0 &&
                 history.earlierCompactions + statistics.compactions > 0;
  const auto manifest = decodeManifest(out.image.at(manifestFileName)).manifest.value();
  out.isVaried = out.isVaried && manifest.segments.size() >= 3;
  std::map<std::string, SequenceNumber> highest;
  SimulatedDisk copy = SimulatedDisk::withFiles(out.image);
  CrashSimulatingDisk reader(copy);
  for (const auto& listed : manifest.segments) {
    const auto name = segmentFileName(listed.number);
    RecordScanner scanner(reader.open(name).file, {FileKind::segment, manifest.storeId, listed.number});
    for (auto step = scanner.next(); step.kind != RecordScanner::Step::Kind::end; step = scanner.next()) {
      EXPECT_EQ(step.kind, RecordScanner::Step::Kind::record);
      const std::string key(step.record.key);
      if (step.record.sequence > highest[key]) out.latest[key].clear();
      if (step.record.sequence < highest[key]) continue;
      highest[key] = step.record.sequence;
      out.latest[key].push_back({name, step.offset, step.bytes});
    }
  }
  return out;
}

/// Returns the keys for which every copy of the latest record is damaged.
std::set<std::string> damagedKeys(const RecordedHistory& recorded,
                                  const std::function<bool(const RecordedHistory::RecordRange&)>& isDamaged) {
  std::set<std::string> out;
  for (const auto& [key, ranges] : recorded.latest)
    if (std::all_of(ranges.begin(), ranges.end(), isDamaged)) out.insert(key);
  return out;
}

/// Opens the store in the image, checks its reads, compacts all segments, and reopens it. Returns the number
/// of keys whose value is missing.
std::uint64_t checkDamagedImage(const std::map<std::string, std::string>& image,
                                const RecordedHistory& recorded, const std::set<std::string>& mayBeMissing,
                                const std::string& context) {
  SimulatedDisk disk = SimulatedDisk::withFiles(image);
  VerificationReport report;
  {
    CrashSimulatingDisk reader(disk);
    verify(reader, report);
  }
  OperationHistory history(disk, 1);
  history.now = recorded.now;
  history.model = recorded.model;
  EXPECT_TRUE(history.open()) << context;
  EXPECT_EQ(history.model.contradictions(history.store(), history.now, mayBeMissing), "") << context;
  std::uint64_t missing = 0;
  for (const auto& [key, states] : history.model.states())
    missing += states.front().value && !history.store().get(key, history.now).value;
  const auto statistics = history.store().statistics();
  if (missing > 0) {
    EXPECT_FALSE(report.damage.empty()) << context << ": verify found no damage";
    EXPECT_GT(statistics.lostRecords + statistics.lostBytes + statistics.lostFiles, 0u)
        << context << ": a key is missing, but the statistics report no loss";
  }
  history.compactAll();
  EXPECT_EQ(history.model.contradictions(history.store(), history.now, mayBeMissing), "")
      << context << " after compaction";
  EXPECT_TRUE(history.open()) << context;
  EXPECT_EQ(history.model.contradictions(history.store(), history.now, mayBeMissing), "")
      << context << " after another recovery";
  return missing;
}

class StoreDamage : public testing::TestWithParam<HistoryEnd> {};
INSTANTIATE_TEST_SUITE_P(AfterHistory, StoreDamage, testing::Values(HistoryEnd::killed, HistoryEnd::closed),
                         [](const auto& info) {
                           return info.param == HistoryEnd::closed ? "Closed" : "Killed";
                         });

// Guards against a wrong or an older value, and against an unreported loss, when the end of any file is
// missing.
TEST_P(StoreDamage, ReturnsNoWrongValueWhenAnyFileIsTruncatedAtAnyByte) {
  const auto recorded = recordHistory(21, 45, GetParam());
  ASSERT_TRUE(recorded.isVaried);
  std::uint64_t missing = 0;
  std::uint64_t truncations = 0;
  for (const auto& [name, bytes] : recorded.image)
    for (std::size_t at = 0; at < bytes.size(); ++at, ++truncations) {
      auto image = recorded.image;
      image[name].resize(at);
      const auto mayBeMissing =
          damagedKeys(recorded, [&, &file = name](const RecordedHistory::RecordRange& range) {
            return range.file == file && range.offset + range.bytes > at;
          });
      missing +=
          checkDamagedImage(image, recorded, mayBeMissing, name + " truncated at " + std::to_string(at));
      if (HasFailure()) return;
    }
  EXPECT_GT(truncations, 3000u);
  EXPECT_GT(missing, 0u) << "no truncation removed a value";
}

// Guards against a wrong or an older value, and against an unreported loss, when the disk corrupts any byte.
TEST_P(StoreDamage, ReturnsNoWrongValueWhenABitOfAnyByteIsFlipped) {
  const auto recorded = recordHistory(22, 45, GetParam());
  ASSERT_TRUE(recorded.isVaried);
  std::uint64_t missing = 0;
  for (const auto& [name, bytes] : recorded.image)
    for (std::size_t at = 0; at < bytes.size(); ++at) {
      auto image = recorded.image;
      image[name][at] = static_cast<char>(image[name][at] ^ (1 << (at % 8)));
      const auto mayBeMissing =
          damagedKeys(recorded, [&, &file = name](const RecordedHistory::RecordRange& range) {
            return range.file == file && range.offset <= at && at < range.offset + range.bytes;
          });
      missing += checkDamagedImage(image, recorded, mayBeMissing, name + " flipped at " + std::to_string(at));
      if (HasFailure()) return;
    }
  EXPECT_GT(missing, 0u);
}

// Guards against an older value when any combination of segments is missing, with or without their hint
// files.
TEST_P(StoreDamage, ReturnsNoWrongValueWhenAnySegmentsAreMissing) {
  const auto recorded = recordHistory(23, 60, GetParam());
  std::vector<std::string> segments;
  for (const auto& [name, bytes] : recorded.image)
    if (name.ends_with(".seg")) segments.push_back(name);
  ASSERT_GE(segments.size(), 3u);
  for (std::uint32_t missingMask = 1; missingMask < (1u << std::min<std::size_t>(segments.size(), 8));
       ++missingMask)
    for (const bool areHintsMissing : {false, true}) {
      auto image = recorded.image;
      for (std::size_t i = 0; i < segments.size() && i < 8; ++i) {
        if ((missingMask >> i & 1) == 0) continue;
        image.erase(segments[i]);
        if (areHintsMissing) image.erase(segments[i].substr(0, 10) + ".hint");
      }
      // Without the hint files, recovery can't know which older records were overwritten, so keys with older
      // records may be missing, too.
      std::set<std::string> mayBeMissing;
      for (const auto& [key, ranges] : recorded.latest)
        if (areHintsMissing || GetParam() == HistoryEnd::killed ||
            std::all_of(ranges.begin(), ranges.end(),
                        [&](const auto& range) { return !image.contains(range.file); }))
          mayBeMissing.insert(key);
      checkDamagedImage(image, recorded, mayBeMissing,
                        "missing segments " + std::to_string(missingMask) +
                            (areHintsMissing ? " with their hint files" : ""));
      if (HasFailure()) return;
    }
}

// Guards against deleting or using files of another store, of a newer version or of unknown origin.
TEST(StoreRecovery, QuarantinesForeignFilesWithoutDeletingThem) {
  const auto recorded = recordHistory(24, 40, HistoryEnd::closed);
  auto image = recorded.image;
  const auto foreignHeader = encodeHeader({FileKind::segment, StoreId{1234}, SegmentNumber{900}});
  const auto newerHeader =
      encodeHeader({FileKind::segment, StoreId{77}, SegmentNumber{901}, formatVersion + 1});
  image["notes.txt"] = "kept";
  image[segmentFileName(SegmentNumber{900})] = foreignHeader + "whatever";
  image[segmentFileName(SegmentNumber{901})] = newerHeader + "of the future";
  image[manifestTemporaryFileName] = "half a manifest";
  SimulatedDisk disk = SimulatedDisk::withFiles(image);
  OperationHistory history(disk, 1);
  history.now = recorded.now;
  history.model = recorded.model;
  ASSERT_TRUE(history.open());
  EXPECT_EQ(history.contradictions(), "");
  const auto after = disk.image();
  EXPECT_EQ(after.at("aside-unknown-notes.txt"), "kept");
  EXPECT_EQ(after.at("aside-foreign-" + segmentFileName(SegmentNumber{900})), foreignHeader + "whatever");
  EXPECT_EQ(after.at("aside-newer-" + segmentFileName(SegmentNumber{901})), newerHeader + "of the future");
  EXPECT_FALSE(after.contains(manifestTemporaryFileName));
  EXPECT_EQ(history.store().statistics().quarantinedFiles, 3u);
  ASSERT_TRUE(history.open());
  EXPECT_EQ(history.store().statistics().quarantinedFiles, 3u)
      << "quarantined files must not be quarantined again";
}

// Guards against losing all entries when the manifest was written by a newer release and can't be read.
TEST(StoreRecovery, QuarantinesTheManifestAndUsesAllSegmentsWhenItsVersionIsNewer) {
  const auto recorded = recordHistory(25, 40, HistoryEnd::closed);
  auto image = recorded.image;
  const auto header = encodeHeader({FileKind::manifest, StoreId{77}, SegmentNumber{0}, formatVersion + 1});
  image[manifestFileName] = header + "of the future";
  SimulatedDisk disk = SimulatedDisk::withFiles(image);
  OperationHistory history(disk, 1);
  history.now = recorded.now;
  history.model = recorded.model;
  ASSERT_TRUE(history.open());
  EXPECT_EQ(history.contradictions(), "");
  EXPECT_TRUE(disk.image().contains("aside-newer-MANIFEST"));
}

// Guards against reading bytes inside a value as a record. The scan for the next intact record after a
// corrupt one runs through the value, which contains a complete record.
TEST(StoreRecovery, IgnoresARecordInsideAValueWhenTheOuterRecordIsCorrupt) {
  SimulatedDisk disk;
  OperationHistory history(disk, 1);
  ASSERT_TRUE(history.open());
  history.commit({WriteRequest::put("inner", "true")});
  std::string inner;  // a valid record of this file, but encoded for another offset than it is written to
  appendRecord(inner, {RecordKind::put, false, SequenceNumber{1000}, neverExpires, "inner", "forged"},
               {{FileKind::segment, history.store().id(), SegmentNumber{1}}, fileHeaderBytes});
  history.commit({WriteRequest::put("outer", inner)});
  const auto name = segmentFileName(SegmentNumber{1});
  auto image = disk.image();
  const auto at = image.at(name).rfind("outer");
  image[name][at] = 'X';  // corrupts the outer record
  image[hintFileName(SegmentNumber{1})].resize(fileHeaderBytes);
  SimulatedDisk found = SimulatedDisk::withFiles(image);
  OperationHistory after(found, 1);
  ASSERT_TRUE(after.open());
  EXPECT_EQ(after.store().get("inner", after.now).value, "true");
  EXPECT_FALSE(after.store().get("outer", after.now).value);
}

// Guards against returning an overwritten value when the segment with the newer record and its hint file are
// missing.
TEST(StoreRecovery, ReturnsNoOlderValueWhenASegmentAndItsHintFileAreMissing) {
  for (const bool closed : {true, false}) {
    SimulatedDisk disk;
    OperationHistory history(disk, 1);
    ASSERT_TRUE(history.open());
    history.commit({WriteRequest::put("key1", "first")});
    ASSERT_TRUE(history.open());
    history.commit({WriteRequest::put("key1", "second")});
    if (closed) history.store().close();
    auto image = disk.image();
    std::string last;
    for (const auto& [name, bytes] : image)
      if (name.ends_with(".seg") && bytes.find("second") != std::string::npos) last = name;
    ASSERT_NE(last, "");
    image.erase(last);
    image.erase(last.substr(0, 10) + ".hint");
    SimulatedDisk found = SimulatedDisk::withFiles(image);
    OperationHistory after(found, 1);
    for (int start = 0; start < 2; ++start) {
      ASSERT_TRUE(after.open());
      EXPECT_FALSE(after.store().get("key1", after.now).value) << "start " << start;
    }
  }
}

// Guards against returning the older value of a key whose latest record became corrupt while the store was
// open.
TEST(StoreReads, ReportCorruptionOnceAndReturnNoOlderValueWhenARecordIsCorrupt) {
  SimulatedDisk disk;
  OperationHistory history(disk, 1);
  ASSERT_TRUE(history.open());
  history.commit({WriteRequest::put("key1", "first")});
  history.store().close();
  ASSERT_TRUE(history.open());
  history.commit({WriteRequest::put("key1", "second")});
  const auto name = segmentFileName(SegmentNumber{2});
  auto& bytes = disk.files.at(name)->bytes;
  bytes[bytes.rfind("second")] = 'x';
  history.logLines.clear();
  EXPECT_EQ(history.store().get("key1", history.now).status.code, StoreErrorCode::corruptRecord);
  EXPECT_EQ(history.store().get("key1", history.now).status.code, StoreErrorCode::corruptRecord);
  EXPECT_EQ(history.logLines.size(), 1u);
  EXPECT_EQ(history.store().statistics().lostRecords, 1u);
  history.compactAll();
  EXPECT_FALSE(history.store().get("key1", history.now).value);
  ASSERT_TRUE(history.open());
  EXPECT_FALSE(history.store().get("key1", history.now).value);
}

TEST(StoreRecovery, LogsFileOffsetAndSizeWhenARecordIsCorrupt) {
  const auto recorded = recordHistory(22, 45, HistoryEnd::closed);
  const auto& range = recorded.latest.begin()->second.front();
  auto image = recorded.image;
  image[range.file][range.offset + recordHeaderBytes] ^= 1;
  image.erase(range.file.substr(0, 10) + ".hint");
  SimulatedDisk disk = SimulatedDisk::withFiles(image);
  OperationHistory history(disk, 1);
  history.now = recorded.now;
  ASSERT_TRUE(history.open());
  const auto line =
      range.file + " at " + std::to_string(range.offset) + ": " + std::to_string(range.bytes) + " bytes";
  EXPECT_EQ(std::count_if(history.logLines.begin(), history.logLines.end(),
                          [&](const auto& logged) { return logged.starts_with(line); }),
            1)
      << line;
}

// Guards against a sweep with a time that is too early, which would restore an expired entry after a restart.
TEST(StoreExpiry, SweepKeepsTheLatestExpiryTimeWhenTheClockStepsBackBeforeTheCommit) {
  SimulatedDisk disk;
  OperationHistory history(disk, 1);
  ASSERT_TRUE(history.open());
  const auto begin = history.now;
  const auto in = [&](int ms) { return begin + std::chrono::milliseconds(ms); };
  history.commit({WriteRequest::put("key1", "long", in(80)), WriteRequest::put("key2", "short", in(10))});
  history.now = in(100);
  EXPECT_FALSE(history.store().get("key1", history.now).value);
  history.now = in(20);  // the clock steps back, and key2 is found to be expired before the next commit
  EXPECT_FALSE(history.store().get("key2", history.now).value);
  history.commit({WriteRequest::put("key3", "carries the sweep")});
  history.now = begin;
  ASSERT_TRUE(history.open());
  EXPECT_FALSE(history.store().get("key1", history.now).value);
  EXPECT_FALSE(history.store().get("key2", history.now).value);
}

// Guards against tombstones that are kept without limit. A snapshot that starts after a compaction has
// removed a segment, but before the index is updated, must let the index update finish.
TEST(StoreSnapshot, LetsACompactionInProgressUpdateTheIndex) {
  SimulatedDisk disk;
  SimulatedDisk destination;
  OperationHistory history(disk, 1);
  ASSERT_TRUE(history.open());
  history.commit({WriteRequest::put("key1", "v"), WriteRequest::put("key2", "v")});
  ASSERT_TRUE(history.open());  // reopening seals the segment
  history.commit({WriteRequest::erase("key1"), WriteRequest::erase("key2")});
  while (history.store().statistics().compactions == 0)
    ASSERT_TRUE(history.store().runMaintenance(history.now));
  std::optional<StoreStatus> ended;
  ASSERT_TRUE(history.store()
                  .startSnapshot(std::make_unique<CrashSimulatingDisk>(destination),
                                 [&](StoreStatus status) { ended = std::move(status); })
                  .isOk());
  while (!ended) ASSERT_TRUE(history.store().runMaintenance(history.now));
  EXPECT_TRUE(ended->isOk());
  history.compactAll();
  history.compactAll();
  EXPECT_EQ(history.store().statistics().tombstones, 0u)
      << "erasures must be dropped once the erased records are no longer on disk";
}

// Guards against a requested compaction that blocks commits until it has finished.
TEST(StoreCompaction, AllowsCommitsBetweenItsStepsWhenRequested) {
  SimulatedDisk disk;
  OperationHistory history(disk, 1);
  ASSERT_TRUE(history.open());
  // A quarter of the bytes are dead: too few for an automatic compaction, enough for a requested one.
  for (std::uint64_t i = 0; i < 50; ++i)
    history.commit({WriteRequest::put(numbered("n", i < 40 ? i : i * 4 % 40), std::string(40, 'x'))});
  history.runAllMaintenance();
  std::optional<StoreStatus> ended;
  history.store().startCompaction([&](StoreStatus status) { ended = std::move(status); });
  std::uint64_t commitsBetweenSteps = 0;
  for (; !ended && commitsBetweenSteps < 1000; ++commitsBetweenSteps) {
    history.store().runMaintenance(history.now);
    history.commit({WriteRequest::put("while", numbered("v", commitsBetweenSteps))});
  }
  ASSERT_TRUE(ended && ended->isOk());
  EXPECT_GT(commitsBetweenSteps, 3u) << "the compaction was done in too few steps";
  EXPECT_EQ(history.contradictions(), "");
}

// Guards against an expired entry that returns when the clock steps back, in the same process or after a
// restart.
TEST(StoreExpiry, ExpiredEntryStaysExpiredWhenTheClockStepsBack) {
  SimulatedDisk disk;
  OperationHistory history(disk, 1);
  ASSERT_TRUE(history.open());
  const auto begin = history.now;
  history.commit({WriteRequest::put("key1", "short", begin + std::chrono::milliseconds(50)),
                  WriteRequest::put("key2", "long")});
  history.now = begin + std::chrono::milliseconds(100);
  EXPECT_FALSE(history.store().get("key1", history.now).value);
  history.now = begin;
  EXPECT_FALSE(history.store().get("key1", history.now).value) << "in the same process";
  history.commit({WriteRequest::put("key3", "carries the sweep")});
  ASSERT_TRUE(history.open());
  EXPECT_FALSE(history.store().get("key1", history.now).value) << "after a restart";
  // A clock that was ahead once must not expire entries that are written later.
  history.commit({WriteRequest::put("key1", "again", begin + std::chrono::milliseconds(60))});
  ASSERT_TRUE(history.open());
  EXPECT_EQ(history.store().get("key1", history.now).value, "again");
  EXPECT_EQ(history.store().get("key2", history.now).value, "long");
}

}  // namespace
}  // namespace rainhook::store
