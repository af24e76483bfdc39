// Damage to a store that lies still: files cut at every byte, bytes flipped, segments gone, strangers in the
// folder. A key may be missing where its latest record is hit; nothing older and nothing wrong is ever
// served.
#include <gtest/gtest.h>

#include <functional>

#include "store/record_scanner.h"
#include "store_world.h"

namespace rainhook::store {
namespace {

struct Recorded {
  std::map<std::string, std::string> image;
  ReferenceModel ledger;
  UnixTime now;
  // Where the latest record of a living key stands; several after a compaction that was cut short.
  struct At {
    std::string file;
    std::uint64_t offset, bytes;
  };
  std::map<std::string, std::vector<At>> latest;
  bool all = false;  // erasures, expiries, compactions and several segments were in it
};

Recorded record(std::uint64_t seed, int steps, bool closed) {
  SimulatedDisk platter;
  OperationHistory history(platter, seed);
  EXPECT_TRUE(history.open());
  history.play(steps);
  if (closed) history.book().close();
  history.ledger.passed(history.now);
  const auto stats = history.book().stats();
  Recorded out{platter.image(), history.ledger, history.now, {}, {}};
  out.all = history.erased > 0 && history.expired + stats.expiredEntries > 0 &&
            history.compactions + stats.compactions > 0;
  const auto manifest = decodeManifest(out.image.at(manifestFileName)).manifest.value();
  out.all = out.all && manifest.segments.size() >= 3;
  std::map<std::string, SequenceNumber> highest;
  SimulatedDisk copy = SimulatedDisk::of(out.image);
  CrashSimulatingDisk disk(copy);
  for (const auto& listed : manifest.segments) {
    const auto name = segmentFileName(listed.number);
    RecordScanner scanner(disk.open(name).file, {FileKind::segment, manifest.store, listed.number});
    for (auto step = scanner.next(); step.what != RecordScanner::Step::What::end; step = scanner.next()) {
      EXPECT_EQ(step.what, RecordScanner::Step::What::record);
      const std::string key(step.record.key);
      if (step.record.sequence > highest[key]) out.latest[key].clear();
      if (step.record.sequence < highest[key]) continue;
      highest[key] = step.record.sequence;
      out.latest[key].push_back({name, step.offset, step.bytes});
    }
  }
  return out;
}

// The keys whose every latest record is hit.
std::set<std::string> hit(const Recorded& recorded, const std::function<bool(const Recorded::At&)>& hits) {
  std::set<std::string> out;
  for (const auto& [key, all] : recorded.latest)
    if (std::all_of(all.begin(), all.end(), hits)) out.insert(key);
  return out;
}

struct Seen {
  std::uint64_t missing = 0;  // keys that should be there, and may be missing
  bool told = false;
};

// Starts on it, looks, compacts everything, starts again.
Seen judge(std::map<std::string, std::string> image, const Recorded& recorded,
           const std::set<std::string>& mayMiss, const std::string& where) {
  SimulatedDisk platter = SimulatedDisk::of(image);
  VerificationReport verified;
  {
    CrashSimulatingDisk disk(platter);
    verify(disk, verified);
  }
  OperationHistory history(platter, 1);
  history.now = recorded.now, history.ledger = recorded.ledger;
  EXPECT_TRUE(history.open()) << where;
  EXPECT_EQ(history.ledger.contradictions(history.book(), history.now, mayMiss), "") << where;
  Seen out;
  for (const auto& [key, states] : history.ledger.keys())
    out.missing += states.front().value && !history.book().get(key, history.now).value;
  out.told = history.book().stats().lostRecords > 0 || history.book().stats().lostBytes > 0 ||
             history.book().stats().lostFiles > 0;
  if (out.missing > 0) {
    EXPECT_FALSE(verified.damage.empty()) << where << ": verify saw nothing";
    EXPECT_TRUE(out.told) << where << ": a key is missing and nothing was told";
  }
  history.compactAll();
  EXPECT_EQ(history.ledger.contradictions(history.book(), history.now, mayMiss), "")
      << where << " after compaction";
  EXPECT_TRUE(history.open()) << where;
  EXPECT_EQ(history.ledger.contradictions(history.book(), history.now, mayMiss), "")
      << where << " after another start";
  return out;
}

class StoreDamage : public testing::TestWithParam<bool> {};
INSTANTIATE_TEST_SUITE_P(ClosedOrKilled, StoreDamage, testing::Bool());

TEST_P(StoreDamage, EveryFileCutAtEveryByte) {
  const auto recorded = record(21, 45, GetParam());
  ASSERT_TRUE(recorded.all);
  std::uint64_t missing = 0, cuts = 0;
  for (const auto& [name, bytes] : recorded.image)
    for (std::size_t at = 0; at < bytes.size(); ++at, ++cuts) {
      auto image = recorded.image;
      image[name].resize(at);
      const auto mayMiss = hit(recorded, [&, &file = name](const Recorded::At& r) {
        return r.file == file && r.offset + r.bytes > at;
      });
      missing += judge(image, recorded, mayMiss, name + " cut at " + std::to_string(at)).missing;
      if (HasFailure()) return;
    }
  EXPECT_GT(cuts, 3000u);
  EXPECT_GT(missing, 0u) << "no cut hit anything";
}

TEST_P(StoreDamage, EveryByteFlipped) {
  const auto recorded = record(22, 45, GetParam());
  ASSERT_TRUE(recorded.all);
  std::uint64_t missing = 0;
  for (const auto& [name, bytes] : recorded.image)
    for (std::size_t at = 0; at < bytes.size(); ++at) {
      auto image = recorded.image;
      image[name][at] = static_cast<char>(image[name][at] ^ (1 << (at % 8)));
      const auto mayMiss = hit(recorded, [&, &file = name](const Recorded::At& r) {
        return r.file == file && r.offset <= at && at < r.offset + r.bytes;
      });
      missing += judge(image, recorded, mayMiss, name + " flipped at " + std::to_string(at)).missing;
      if (HasFailure()) return;
    }
  EXPECT_GT(missing, 0u);
}

TEST_P(StoreDamage, AnySegmentsLost) {
  const auto recorded = record(23, 60, GetParam());
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
      std::set<std::string> mayMiss;
      for (const auto& [key, all] : recorded.latest)
        if (hintsToo || !GetParam() ||
            std::all_of(all.begin(), all.end(), [&](const auto& r) { return !image.contains(r.file); }))
          mayMiss.insert(key);
      judge(image, recorded, mayMiss, "lost " + std::to_string(lost) + (hintsToo ? " with hints" : ""));
      if (HasFailure()) return;
    }
}

TEST(StoreStrangers, AreSetAsideAndNeverDeleted) {
  const auto recorded = record(24, 40, true);
  auto image = recorded.image;
  const auto foreignHead = encodeHeader({FileKind::segment, StoreId{1234}, SegmentNumber{900}});
  const auto newerHead =
      encodeHeader({FileKind::segment, StoreId{77}, SegmentNumber{901}, formatVersion + 1});
  image["notes.txt"] = "kept";
  image[segmentFileName(SegmentNumber{900})] = foreignHead + "whatever";
  image[segmentFileName(SegmentNumber{901})] = newerHead + "of the future";
  image[manifestTemporaryFileName] = "half a manifest";
  SimulatedDisk platter = SimulatedDisk::of(image);
  OperationHistory history(platter, 1);
  history.now = recorded.now, history.ledger = recorded.ledger;
  ASSERT_TRUE(history.open());
  EXPECT_EQ(history.ledger.contradictions(history.book(), history.now), "");
  const auto after = platter.image();
  EXPECT_EQ(after.at("aside-unknown-notes.txt"), "kept");
  EXPECT_EQ(after.at("aside-foreign-" + segmentFileName(SegmentNumber{900})), foreignHead + "whatever");
  EXPECT_EQ(after.at("aside-newer-" + segmentFileName(SegmentNumber{901})), newerHead + "of the future");
  EXPECT_FALSE(after.contains(manifestTemporaryFileName));
  EXPECT_EQ(history.book().stats().quarantinedFiles, 3u);
  ASSERT_TRUE(history.open());
  EXPECT_EQ(history.book().stats().quarantinedFiles, 3u) << "what is aside already stays as it is";
}

TEST(StoreStrangers, AManifestOfANewerVersionIsSetAsideAndTheSegmentsServe) {
  const auto recorded = record(25, 40, true);
  auto image = recorded.image;
  auto head = encodeHeader({FileKind::manifest, StoreId{77}, SegmentNumber{0}, formatVersion + 1});
  image[manifestFileName] = head + "of the future";
  SimulatedDisk platter = SimulatedDisk::of(image);
  OperationHistory history(platter, 1);
  history.now = recorded.now, history.ledger = recorded.ledger;
  ASSERT_TRUE(history.open());
  EXPECT_EQ(history.ledger.contradictions(history.book(), history.now), "");
  EXPECT_TRUE(platter.image().contains("aside-newer-MANIFEST"));
}

TEST(StoreStrangers, ARecordWithinAValueIsNeverTakenForOne) {
  SimulatedDisk platter;
  OperationHistory history(platter, 1);
  ASSERT_TRUE(history.open());
  history.put({{false, "inner", "true", neverExpires}});
  std::string inner;  // as it would be later in this file, at another place than where it comes to stand
  appendRecord(inner, {RecordKind::put, false, SequenceNumber{1000}, neverExpires, "inner", "forged"},
               {{FileKind::segment, history.book().id(), SegmentNumber{1}}, fileHeaderBytes});
  history.put({{false, "outer", inner, neverExpires}});
  const auto name = segmentFileName(SegmentNumber{1});
  auto image = platter.image();
  const auto at = image.at(name).rfind("outer");
  image[name][at] = 'X';  // the outer record breaks, and the search for the next one runs through its value
  image[hintFileName(SegmentNumber{1})].resize(fileHeaderBytes);
  SimulatedDisk found = SimulatedDisk::of(image);
  OperationHistory after(found, 1);
  ASSERT_TRUE(after.open());
  EXPECT_EQ(after.book().get("inner", after.now).value, "true");
  EXPECT_FALSE(after.book().get("outer", after.now).value);
}

TEST(StoreStrangers, WithoutALostSegmentAndItsHintNothingOlderIsServed) {
  for (const bool closed : {true, false}) {
    SimulatedDisk platter;
    OperationHistory history(platter, 1);
    ASSERT_TRUE(history.open());
    history.put({{false, "key1", "first", neverExpires}});
    ASSERT_TRUE(history.open());
    history.put({{false, "key1", "second", neverExpires}});
    if (closed) history.book().close();
    auto image = platter.image();
    std::string last;
    for (const auto& [name, bytes] : image)
      if (name.ends_with(".seg") && bytes.find("second") != std::string::npos) last = name;
    ASSERT_NE(last, "");
    image.erase(last), image.erase(last.substr(0, 10) + ".hint");
    SimulatedDisk found = SimulatedDisk::of(image);
    OperationHistory after(found, 1);
    for (int start = 0; start < 2; ++start) {
      ASSERT_TRUE(after.open());
      EXPECT_FALSE(after.book().get("key1", after.now).value) << "start " << start;
    }
  }
}

TEST(StoreStrangers, DamageFoundByAReadIsToldOnceAndNothingOlderComesBack) {
  SimulatedDisk platter;
  OperationHistory history(platter, 1);
  ASSERT_TRUE(history.open());
  history.put({{false, "key1", "first", neverExpires}});
  history.book().close();
  ASSERT_TRUE(history.open());
  history.put({{false, "key1", "second", neverExpires}});
  const auto name = segmentFileName(SegmentNumber{2});
  auto& bytes = platter.names.at(name)->now;
  bytes[bytes.rfind("second")] = 'x';
  history.log.clear();
  EXPECT_EQ(history.book().get("key1", history.now).status.code, StoreErrorCode::corruptRecord);
  EXPECT_EQ(history.book().get("key1", history.now).status.code, StoreErrorCode::corruptRecord);
  EXPECT_EQ(history.log.size(), 1u);
  EXPECT_EQ(history.book().stats().lostRecords, 1u);
  history.compactAll();
  EXPECT_FALSE(history.book().get("key1", history.now).value);
  ASSERT_TRUE(history.open());
  EXPECT_FALSE(history.book().get("key1", history.now).value);
}

TEST(StoreStrangers, ALossIsToldWithFileOffsetAndBytes) {
  const auto recorded = record(22, 45, true);
  const auto& at = recorded.latest.begin()->second.front();
  auto image = recorded.image;
  image[at.file][at.offset + recordHeaderBytes] ^= 1;
  image.erase(at.file.substr(0, 10) + ".hint");
  SimulatedDisk platter = SimulatedDisk::of(image);
  OperationHistory history(platter, 1);
  history.now = recorded.now;
  ASSERT_TRUE(history.open());
  const auto line = at.file + " at " + std::to_string(at.offset) + ": " + std::to_string(at.bytes) + " bytes";
  EXPECT_EQ(std::count_if(history.log.begin(), history.log.end(),
                          [&](const auto& l) { return l.starts_with(line); }),
            1)
      << line;
}

TEST(StoreStrangers, ASweepKeepsTheLatestTimeThatWasSeen) {
  SimulatedDisk platter;
  OperationHistory history(platter, 1);
  ASSERT_TRUE(history.open());
  const auto begin = history.now;
  const auto in = [&](int ms) { return begin + std::chrono::milliseconds(ms); };
  history.put({{false, "key1", "long", in(80)}, {false, "key2", "short", in(10)}});
  history.now = in(100);
  EXPECT_FALSE(history.book().get("key1", history.now).value);
  history.now = in(20);  // the clock steps back, and another is seen to expire before anything is written
  EXPECT_FALSE(history.book().get("key2", history.now).value);
  history.put({{false, "key3", "carries the sweep", neverExpires}});
  history.now = begin;
  ASSERT_TRUE(history.open());
  EXPECT_FALSE(history.book().get("key1", history.now).value);
  EXPECT_FALSE(history.book().get("key2", history.now).value);
}

TEST(StoreStrangers, ASnapshotLetsTheCompactionBeforeItEnd) {
  SimulatedDisk platter, target;
  OperationHistory history(platter, 1);
  ASSERT_TRUE(history.open());
  history.put({{false, "key1", "v", neverExpires}, {false, "key2", "v", neverExpires}});
  ASSERT_TRUE(history.open());  // its segment is closed by that
  history.put({{true, "key1", {}, neverExpires}, {true, "key2", {}, neverExpires}});
  while (history.book().stats().compactions == 0) ASSERT_TRUE(history.book().runMaintenance(history.now));
  std::optional<StoreStatus> ended;
  ASSERT_TRUE(history.book()
                  .startSnapshot(std::make_unique<CrashSimulatingDisk>(target),
                                 [&](StoreStatus o) { ended = std::move(o); })
                  .isOk());
  while (!ended) ASSERT_TRUE(history.book().runMaintenance(history.now));
  EXPECT_TRUE(ended->isOk());
  history.compactAll();
  history.compactAll();
  EXPECT_EQ(history.book().stats().tombstones, 0u)
      << "erasures of what is no longer on disk are kept for ever";
}

TEST(StoreStrangers, ACompactionThatWasAskedForLeavesRoomForCommits) {
  SimulatedDisk platter;
  OperationHistory history(platter, 1);
  ASSERT_TRUE(history.open());
  // A quarter of it dead: not worth the while until somebody asks.
  for (std::uint64_t i = 0; i < 50; ++i)
    history.put({{false, named("n", i < 40 ? i : i * 4 % 40), std::string(40, 'x'), neverExpires}});
  history.runAllMaintenance();
  std::optional<StoreStatus> ended;
  history.book().startCompaction([&](StoreStatus outcome) { ended = std::move(outcome); });
  std::uint64_t between = 0;
  for (; !ended && between < 1000; ++between) {
    history.book().runMaintenance(history.now);
    history.put({{false, "while", named("v", between), neverExpires}});
  }
  ASSERT_TRUE(ended && ended->isOk());
  EXPECT_GT(between, 3u) << "it was done in one step";
  EXPECT_EQ(history.ledger.contradictions(history.book(), history.now), "");
}

TEST(StoreStrangers, WhatExpiredStaysSoWhenTheClockStepsBack) {
  SimulatedDisk platter;
  OperationHistory history(platter, 1);
  ASSERT_TRUE(history.open());
  const auto begin = history.now;
  history.put({{false, "key1", "short", begin + std::chrono::milliseconds(50)},
               {false, "key2", "long", neverExpires}});
  history.now = begin + std::chrono::milliseconds(100);
  EXPECT_FALSE(history.book().get("key1", history.now).value);
  history.now = begin;
  EXPECT_FALSE(history.book().get("key1", history.now).value) << "in the same process";
  history.put({{false, "key3", "carries the sweep", neverExpires}});
  ASSERT_TRUE(history.open());
  EXPECT_FALSE(history.book().get("key1", history.now).value) << "after a start";
  // A clock that was wrong once must not doom what is written later.
  history.put({{false, "key1", "again", begin + std::chrono::milliseconds(60)}});
  ASSERT_TRUE(history.open());
  EXPECT_EQ(history.book().get("key1", history.now).value, "again");
  EXPECT_EQ(history.book().get("key2", history.now).value, "long");
}

}  // namespace
}  // namespace rainhook::store
