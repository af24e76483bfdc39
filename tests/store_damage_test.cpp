/// @file
/// Damage to a store that is not open: files truncated at every byte, bytes flipped, segments missing,
/// foreign files in the folder. A key may be missing where its latest record is hit; nothing older and
/// nothing wrong is ever served.
#include <gtest/gtest.h>

#include <functional>

#include "store/file_names.h"
#include "store/manifest.h"
#include "store/record_scanner.h"
#include "store/verifier.h"
#include "store_operation_history.h"

namespace rainhook::store {
namespace {

/// The files that a history left, and what a store that opens them may serve.
struct RecordedHistory {
  struct RecordPlace {
    std::string file;
    std::uint64_t offset = 0;
    std::uint64_t bytes = 0;
  };

  std::map<std::string, std::string> image;
  ReferenceModel model;
  UnixTime now;
  /// Where the latest record of a live key stands; several after an interrupted compaction.
  std::map<std::string, std::vector<RecordPlace>> latest;
  /// Erasures, expiries, compactions and several segments were in it.
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

/// The keys of which every latest record is hit.
std::set<std::string> keysHit(const RecordedHistory& recorded,
                              const std::function<bool(const RecordedHistory::RecordPlace&)>& isHit) {
  std::set<std::string> out;
  for (const auto& [key, places] : recorded.latest)
    if (std::all_of(places.begin(), places.end(), isHit)) out.insert(key);
  return out;
}

/// Opens the store in the image, checks what it serves, compacts everything, opens it again. Returns how many
/// keys are missing that should be there.
std::uint64_t checkDamagedImage(const std::map<std::string, std::string>& image,
                                const RecordedHistory& recorded, const std::set<std::string>& mayBeMissing,
                                const std::string& where) {
  SimulatedDisk disk = SimulatedDisk::withFiles(image);
  VerificationReport report;
  {
    CrashSimulatingDisk reader(disk);
    verify(reader, report);
  }
  OperationHistory history(disk, 1);
  history.now = recorded.now;
  history.model = recorded.model;
  EXPECT_TRUE(history.open()) << where;
  EXPECT_EQ(history.model.contradictions(history.store(), history.now, mayBeMissing), "") << where;
  std::uint64_t missing = 0;
  for (const auto& [key, states] : history.model.states())
    missing += states.front().value && !history.store().get(key, history.now).value;
  const auto statistics = history.store().statistics();
  if (missing > 0) {
    EXPECT_FALSE(report.damage.empty()) << where << ": verify found nothing";
    EXPECT_GT(statistics.lostRecords + statistics.lostBytes + statistics.lostFiles, 0u)
        << where << ": a key is missing and nothing was reported";
  }
  history.compactAll();
  EXPECT_EQ(history.model.contradictions(history.store(), history.now, mayBeMissing), "")
      << where << " after compaction";
  EXPECT_TRUE(history.open()) << where;
  EXPECT_EQ(history.model.contradictions(history.store(), history.now, mayBeMissing), "")
      << where << " after another start";
  return missing;
}

class StoreDamage : public testing::TestWithParam<HistoryEnd> {};
INSTANTIATE_TEST_SUITE_P(AfterAHistoryThatWas, StoreDamage,
                         testing::Values(HistoryEnd::killed, HistoryEnd::closed), [](const auto& info) {
                           return info.param == HistoryEnd::closed ? "Closed" : "Killed";
                         });

TEST_P(StoreDamage, ServesNothingWrongWithAnyFileTruncatedAtAnyByte) {
  const auto recorded = recordHistory(21, 45, GetParam());
  ASSERT_TRUE(recorded.isVaried);
  std::uint64_t missing = 0;
  std::uint64_t truncations = 0;
  for (const auto& [name, bytes] : recorded.image)
    for (std::size_t at = 0; at < bytes.size(); ++at, ++truncations) {
      auto image = recorded.image;
      image[name].resize(at);
      const auto mayBeMissing =
          keysHit(recorded, [&, &file = name](const RecordedHistory::RecordPlace& place) {
            return place.file == file && place.offset + place.bytes > at;
          });
      missing +=
          checkDamagedImage(image, recorded, mayBeMissing, name + " truncated at " + std::to_string(at));
      if (HasFailure()) return;
    }
  EXPECT_GT(truncations, 3000u);
  EXPECT_GT(missing, 0u) << "no truncation hit anything";
}

TEST_P(StoreDamage, ServesNothingWrongWithAnyByteFlipped) {
  const auto recorded = recordHistory(22, 45, GetParam());
  ASSERT_TRUE(recorded.isVaried);
  std::uint64_t missing = 0;
  for (const auto& [name, bytes] : recorded.image)
    for (std::size_t at = 0; at < bytes.size(); ++at) {
      auto image = recorded.image;
      image[name][at] = static_cast<char>(image[name][at] ^ (1 << (at % 8)));
      const auto mayBeMissing =
          keysHit(recorded, [&, &file = name](const RecordedHistory::RecordPlace& place) {
            return place.file == file && place.offset <= at && at < place.offset + place.bytes;
          });
      missing += checkDamagedImage(image, recorded, mayBeMissing, name + " flipped at " + std::to_string(at));
      if (HasFailure()) return;
    }
  EXPECT_GT(missing, 0u);
}

TEST_P(StoreDamage, ServesNothingWrongWithAnySegmentsMissing) {
  const auto recorded = recordHistory(23, 60, GetParam());
  std::vector<std::string> segments;
  for (const auto& [name, bytes] : recorded.image)
    if (name.ends_with(".seg")) segments.push_back(name);
  ASSERT_GE(segments.size(), 3u);
  for (std::uint32_t lost = 1; lost < (1u << std::min<std::size_t>(segments.size(), 8)); ++lost)
    for (const bool hintsToo : {false, true}) {
      auto image = recorded.image;
      for (std::size_t i = 0; i < segments.size() && i < 8; ++i) {
        if ((lost >> i & 1) == 0) continue;
        image.erase(segments[i]);
        if (hintsToo) image.erase(segments[i].substr(0, 10) + ".hint");
      }
      // Without the hints nobody can say what else was written over: older keys may go too.
      std::set<std::string> mayBeMissing;
      for (const auto& [key, places] : recorded.latest)
        if (hintsToo || GetParam() == HistoryEnd::killed ||
            std::all_of(places.begin(), places.end(),
                        [&](const auto& place) { return !image.contains(place.file); }))
          mayBeMissing.insert(key);
      checkDamagedImage(image, recorded, mayBeMissing,
                        "lost " + std::to_string(lost) + (hintsToo ? " with hints" : ""));
      if (HasFailure()) return;
    }
}

TEST(StoreRecovery, QuarantinesForeignFilesAndNeverDeletesThem) {
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
      << "what is quarantined already stays as it is";
}

TEST(StoreRecovery, QuarantinesAManifestOfANewerVersionAndServesTheSegments) {
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

TEST(StoreRecovery, NeverReadsARecordInsideAValue) {
  SimulatedDisk disk;
  OperationHistory history(disk, 1);
  ASSERT_TRUE(history.open());
  history.commit({WriteRequest::put("inner", "true")});
  std::string inner;  // as it would be later in this file, at another place than where it comes to stand
  appendRecord(inner, {RecordKind::put, false, SequenceNumber{1000}, neverExpires, "inner", "forged"},
               {{FileKind::segment, history.store().id(), SegmentNumber{1}}, fileHeaderBytes});
  history.commit({WriteRequest::put("outer", inner)});
  const auto name = segmentFileName(SegmentNumber{1});
  auto image = disk.image();
  const auto at = image.at(name).rfind("outer");
  image[name][at] = 'X';  // the outer record breaks, and the search for the next one runs through its value
  image[hintFileName(SegmentNumber{1})].resize(fileHeaderBytes);
  SimulatedDisk found = SimulatedDisk::withFiles(image);
  OperationHistory after(found, 1);
  ASSERT_TRUE(after.open());
  EXPECT_EQ(after.store().get("inner", after.now).value, "true");
  EXPECT_FALSE(after.store().get("outer", after.now).value);
}

TEST(StoreRecovery, ServesNothingOlderThanAMissingSegmentWithoutItsHint) {
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

TEST(StoreReads, ReportCorruptionOnceAndServeNothingOlder) {
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

TEST(StoreRecovery, ReportsALossWithFileOffsetAndBytes) {
  const auto recorded = recordHistory(22, 45, HistoryEnd::closed);
  const auto& place = recorded.latest.begin()->second.front();
  auto image = recorded.image;
  image[place.file][place.offset + recordHeaderBytes] ^= 1;
  image.erase(place.file.substr(0, 10) + ".hint");
  SimulatedDisk disk = SimulatedDisk::withFiles(image);
  OperationHistory history(disk, 1);
  history.now = recorded.now;
  ASSERT_TRUE(history.open());
  const auto line =
      place.file + " at " + std::to_string(place.offset) + ": " + std::to_string(place.bytes) + " bytes";
  EXPECT_EQ(std::count_if(history.logLines.begin(), history.logLines.end(),
                          [&](const auto& logged) { return logged.starts_with(line); }),
            1)
      << line;
}

TEST(StoreExpiry, ASweepKeepsTheLatestTimeThatWasSeen) {
  SimulatedDisk disk;
  OperationHistory history(disk, 1);
  ASSERT_TRUE(history.open());
  const auto begin = history.now;
  const auto in = [&](int ms) { return begin + std::chrono::milliseconds(ms); };
  history.commit({WriteRequest::put("key1", "long", in(80)), WriteRequest::put("key2", "short", in(10))});
  history.now = in(100);
  EXPECT_FALSE(history.store().get("key1", history.now).value);
  history.now = in(20);  // the clock steps back, and another is seen to expire before anything is written
  EXPECT_FALSE(history.store().get("key2", history.now).value);
  history.commit({WriteRequest::put("key3", "carries the sweep")});
  history.now = begin;
  ASSERT_TRUE(history.open());
  EXPECT_FALSE(history.store().get("key1", history.now).value);
  EXPECT_FALSE(history.store().get("key2", history.now).value);
}

TEST(StoreSnapshot, LetsTheCompactionBeforeItEnd) {
  SimulatedDisk disk;
  SimulatedDisk target;
  OperationHistory history(disk, 1);
  ASSERT_TRUE(history.open());
  history.commit({WriteRequest::put("key1", "v"), WriteRequest::put("key2", "v")});
  ASSERT_TRUE(history.open());  // its segment is closed by that
  history.commit({WriteRequest::erase("key1"), WriteRequest::erase("key2")});
  while (history.store().statistics().compactions == 0)
    ASSERT_TRUE(history.store().runMaintenance(history.now));
  std::optional<StoreStatus> ended;
  ASSERT_TRUE(history.store()
                  .startSnapshot(std::make_unique<CrashSimulatingDisk>(target),
                                 [&](StoreStatus status) { ended = std::move(status); })
                  .isOk());
  while (!ended) ASSERT_TRUE(history.store().runMaintenance(history.now));
  EXPECT_TRUE(ended->isOk());
  history.compactAll();
  history.compactAll();
  EXPECT_EQ(history.store().statistics().tombstones, 0u)
      << "erasures of what is no longer on disk are kept for ever";
}

TEST(StoreCompaction, ARequestedOneLetsCommitsThrough) {
  SimulatedDisk disk;
  OperationHistory history(disk, 1);
  ASSERT_TRUE(history.open());
  // A quarter of it dead: not worth the while until somebody asks.
  for (std::uint64_t i = 0; i < 50; ++i)
    history.commit({WriteRequest::put(numbered("n", i < 40 ? i : i * 4 % 40), std::string(40, 'x'))});
  history.runAllMaintenance();
  std::optional<StoreStatus> ended;
  history.store().startCompaction([&](StoreStatus status) { ended = std::move(status); });
  std::uint64_t between = 0;
  for (; !ended && between < 1000; ++between) {
    history.store().runMaintenance(history.now);
    history.commit({WriteRequest::put("while", numbered("v", between))});
  }
  ASSERT_TRUE(ended && ended->isOk());
  EXPECT_GT(between, 3u) << "it was done in one step";
  EXPECT_EQ(history.contradictions(), "");
}

TEST(StoreExpiry, WhatExpiredStaysSoWhenTheClockStepsBack) {
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
  EXPECT_FALSE(history.store().get("key1", history.now).value) << "after a start";
  // A clock that was wrong once must not doom what is written later.
  history.commit({WriteRequest::put("key1", "again", begin + std::chrono::milliseconds(60))});
  ASSERT_TRUE(history.open());
  EXPECT_EQ(history.store().get("key1", history.now).value, "again");
  EXPECT_EQ(history.store().get("key2", history.now).value, "long");
}

}  // namespace
}  // namespace rainhook::store
