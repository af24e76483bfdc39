// The parts of the store one by one: what decides, the index, the formats, the bounds, the thread.
#include "store/store.h"

#include <gtest/gtest.h>
#include <poll.h>
#include <rapidcheck/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <thread>

#include "store/compaction_policy.h"
#include "store/posix_disk.h"
#include "store_world.h"

namespace rainhook::store {
namespace {

using std::chrono::milliseconds;

SegmentInfo sealed(std::uint64_t number, std::uint64_t bytes, std::uint64_t living) {
  return {SegmentNumber{number}, bytes, living, true, false, false};
}

TEST(StorePlan, TakesTheDistrustedThenTheEmptyThenTheDamagedThenTheDeadest) {
  const CompactionPolicy plan(StoreSettings{});
  StoreOccupancy facts{4000, 0, {sealed(1, 1000, 900), sealed(2, 1000, 400), sealed(3, 1000, 300)}};
  EXPECT_EQ(plan.next(facts), SegmentNumber{3});
  facts.segments[0].damaged = true;
  EXPECT_EQ(plan.next(facts), SegmentNumber{1});
  facts.segments[1].living = 0;
  EXPECT_EQ(plan.next(facts), SegmentNumber{2});
  facts.segments[0].isUntrusted = true;
  EXPECT_EQ(plan.next(facts), SegmentNumber{1});
  facts.segments[0].sealed = false;
  EXPECT_EQ(plan.next(facts), SegmentNumber{2}) << "what is being written is left alone";
}

TEST(StorePlan, AsksForLessDeadAsRoomGetsShort) {
  const StoreSettings bounds;
  const CompactionPolicy plan(bounds);
  StoreOccupancy facts{0, 0, {sealed(1, 1000, 700)}};
  EXPECT_EQ(plan.next(facts), std::nullopt);
  facts.bytes = (bounds.maxDiskBytes - plan.reserve()) * 80 / 100;
  EXPECT_EQ(plan.next(facts), SegmentNumber{1});
  facts.segments[0].living = 900;
  EXPECT_EQ(plan.next(facts), std::nullopt);
  facts.bytes = (bounds.maxDiskBytes - plan.reserve()) * 95 / 100;
  EXPECT_EQ(plan.next(facts), SegmentNumber{1});
  facts.segments[0].living = 1000;
  EXPECT_EQ(plan.next(facts), std::nullopt) << "a copy that frees nothing";
}

RC_GTEST_PROP(StorePlan, NeverPromisesMoreThanTheDisk, (std::uint32_t folder, std::uint16_t cost)) {
  const StoreSettings bounds = smallBounds();
  const CompactionPolicy plan(bounds);
  if (plan.canWrite(folder, cost)) RC_ASSERT(folder + cost + bounds.maxSegmentBytes <= bounds.maxDiskBytes);
  if (plan.canCopy(folder, cost)) RC_ASSERT(folder + cost <= bounds.maxDiskBytes);
}

TEST(StoreIndex, AGoneKeyIsRememberedAsLongAsAnOlderRecordOfItStands) {
  KeyIndex index;
  index.addRecord("k", RecordKind::put, SequenceNumber{1}, neverExpires, {SegmentNumber{1}, 40, 60});
  index.addRecord("k", RecordKind::erase, SequenceNumber{2}, neverExpires, {SegmentNumber{2}, 40, 50});
  EXPECT_EQ(index.liveBytesIn(SegmentNumber{1}), 0u);
  EXPECT_GT(index.liveBytesIn(SegmentNumber{2}), 0u) << "its erasure has to be copied while the put stands";
  index.removeRecord("k", SequenceNumber{1});
  EXPECT_EQ(index.liveBytesIn(SegmentNumber{2}), 0u);
  ASSERT_NE(index.find("k"), nullptr);
  index.removeRecord("k", SequenceNumber{2});
  EXPECT_EQ(index.find("k"), nullptr);
  EXPECT_EQ(index.bytes(), 0u);
}

TEST(StoreIndex, ALostRecordTakesThePlaceOfItsAge) {
  KeyIndex index;
  index.addRecord("a", RecordKind::put, SequenceNumber{1}, neverExpires, {SegmentNumber{1}, 40, 60});
  index.addRecord("b", RecordKind::put, SequenceNumber{2}, neverExpires, {SegmentNumber{1}, 100, 60});
  EXPECT_TRUE(index.markLost("a", SequenceNumber{5}, SegmentNumber{2}));
  index.sortByAge();
  EXPECT_EQ(index.raiseFloor(SequenceNumber{3}), 1u) << "what is behind it ages out all the same";
  EXPECT_EQ(index.find("b"), nullptr);
  ASSERT_NE(index.find("a"), nullptr);
  EXPECT_EQ(index.find("a")->state, EntryState::lost);
}

RC_GTEST_PROP(StoreIndex, OrderOfReadingDoesNotMatter, (std::uint32_t seed)) {
  struct Row {
    std::string key;
    RecordKind kind;
    SequenceNumber sequence;
    RecordLocation where;
  };
  Chance chance(seed);
  std::vector<Row> rows;
  for (std::uint32_t i = 0; i < 30; ++i)
    rows.push_back({named("k", below(chance, 4)),
                    below(chance, 3) == 0 ? RecordKind::erase : RecordKind::put,
                    SequenceNumber{i + 1},
                    {SegmentNumber{below(chance, 5) + 1}, i * 100 + 40, 80}});
  const auto read = [](const std::vector<Row>& all) {
    KeyIndex out;
    for (const Row& row : all) out.addRecord(row.key, row.kind, row.sequence, neverExpires, row.where);
    out.sortByAge();
    std::vector<std::tuple<std::string, SequenceNumber, SegmentNumber>> living;
    out.scanByAge(std::nullopt, [&](const IndexEntry& e) {
      return living.emplace_back(e.key, e.sequence, e.location.segment), true;
    });
    return std::tuple(living, out.bytes(), out.liveBytes());
  };
  auto shuffled = rows;
  for (std::size_t i = shuffled.size(); i > 1; --i)
    std::swap(shuffled[i - 1], shuffled[below(chance, static_cast<std::uint32_t>(i))]);
  RC_ASSERT(read(rows) == read(shuffled));
}

RC_GTEST_PROP(StoreFormat, ARecordIsReadWhereItStandsAndNowhereElse,
              (const std::string& key, const std::string& value, std::uint64_t sequence,
               std::uint16_t offset)) {
  const RecordPosition spot{{FileKind::segment, StoreId{5}, SegmentNumber{6}}, offset};
  std::string bytes;
  appendRecord(bytes, {RecordKind::put, false, SequenceNumber{sequence}, neverExpires, key, value}, spot);
  const auto read = readRecord(bytes, spot);
  RC_ASSERT(read.state == RecordReadResult::State::complete);
  RC_ASSERT(read.record.key == key && read.record.value == value &&
            read.record.sequence == SequenceNumber{sequence});
  for (std::size_t cut = 0; cut < bytes.size(); ++cut)
    RC_ASSERT(readRecord(std::string_view(bytes).substr(0, cut), spot).state ==
              RecordReadResult::State::needsMoreBytes);
  RecordPosition elsewhere = spot;
  elsewhere.offset += 1;
  RC_ASSERT(readRecord(bytes, elsewhere).state == RecordReadResult::State::notARecord);
  elsewhere = spot, elsewhere.file.number = SegmentNumber{7};
  RC_ASSERT(readRecord(bytes, elsewhere).state == RecordReadResult::State::notARecord);
}

TEST(StoreFormat, AManifestIsReadBackAndAnySpoiledByteIsSeen) {
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
    auto spoiled = bytes;
    spoiled[at] = static_cast<char>(spoiled[at] ^ 4);
    EXPECT_FALSE(decodeManifest(spoiled).manifest) << at;
    EXPECT_FALSE(decodeManifest(std::string_view(bytes).substr(0, at)).manifest) << at;
  }
}

TEST(StoreFormat, LongValuesArePackedAndShortOnesAreNot) {
  SimulatedDisk platter;
  OperationHistory history(platter, 1);
  ASSERT_TRUE(history.open());
  history.put({{false, "key1", std::string(150, 'a'), neverExpires}});
  EXPECT_LT(platter.image().at(segmentFileName(SegmentNumber{1})).size(), 150u);
  EXPECT_EQ(history.book().get("key1", history.now).value, std::string(150, 'a'));
}

// The folder stays under its bound at each moment; what lives beyond it ages out, the oldest first.
TEST(StoreRoom, TheFolderNeverPassesItsBoundAndTheOldestAgeOut) {
  SimulatedDisk platter;
  auto bounds = smallBounds();
  bounds.maxDiskBytes = 24 << 10;
  OperationHistory history(platter, 1, bounds);
  ASSERT_TRUE(history.open());
  Chance chance(3);
  for (int i = 0; i < 1500; ++i) {
    std::string value;
    for (int c = 0; c < 60; ++c) value += static_cast<char>('a' + below(chance, 26));
    const std::vector<WriteRequest> writes{
        {false, named("n", static_cast<std::uint64_t>(i)), value, neverExpires}};
    ASSERT_TRUE(history.book().commit(writes, history.now).front().isOk()) << i;
    ASSERT_LE(platter.mostUsed, bounds.maxDiskBytes) << i;
    if (i % 7 == 0) history.book().runMaintenance(history.now);
    if (i % 100 == 99) {
      ASSERT_TRUE(history.open()) << i;
    }
  }
  EXPECT_GT(history.book().stats().entries, 20u);
  const auto oldest = history.book().scanByAge(std::nullopt, 1, history.now).rows.front().key;
  EXPECT_TRUE(history.book().get("n1499", history.now).value);
  const int first = std::stoi(oldest.substr(1));
  for (int i = first; i < 1500; ++i)
    EXPECT_TRUE(history.book().get(named("n", static_cast<std::uint64_t>(i)), history.now).value)
        << i << " went before its time";
}

// Nobody tidies between the commits, so the folder fills to its line; half of it lives, and none of that may
// go.
TEST(StoreRoom, AFullFolderCanAlwaysCompactWithoutAgeingOut) {
  SimulatedDisk platter;
  auto bounds = smallBounds();
  bounds.maxDiskBytes = 24 << 10;
  OperationHistory history(platter, 1, bounds);
  ASSERT_TRUE(history.open());
  Chance chance(8);
  std::map<std::string, std::string> latest;
  for (std::uint64_t i = 0; i < 3000; ++i) {
    const auto key = named("n", below(chance, 40));
    const auto value = std::to_string(i) + std::string(40, 'v');
    ASSERT_TRUE(history.book()
                    .commit(std::vector<WriteRequest>{{false, key, value, neverExpires}}, history.now)
                    .front()
                    .isOk());
    latest[key] = value;
    ASSERT_LE(platter.mostUsed, bounds.maxDiskBytes);
  }
  EXPECT_EQ(history.book().stats().agedOutEntries, 0u);
  for (const auto& [key, value] : latest) EXPECT_EQ(history.book().get(key, history.now).value, value);
}

TEST(StoreRoom, TheIndexStaysUnderItsBound) {
  SimulatedDisk platter;
  auto bounds = smallBounds();
  bounds.maxDiskBytes = 256 << 10, bounds.maxIndexBytes = 20'000;
  OperationHistory history(platter, 1, bounds);
  ASSERT_TRUE(history.open());
  for (int i = 0; i < 400; ++i) {
    history.put({{false, named("n", static_cast<std::uint64_t>(i)), "v", neverExpires}});
    history.book().runMaintenance(history.now);
    EXPECT_LE(history.book().stats().indexBytes, bounds.maxIndexBytes + 2000);
  }
  EXPECT_GT(history.book().stats().agedOutEntries, 0u);
  EXPECT_EQ(history.book().get("n399", history.now).value, "v");
}

TEST(StoreRoom, AnErasedStoreGivesItsRoomBack) {
  SimulatedDisk platter;
  OperationHistory history(platter, 1);
  ASSERT_TRUE(history.open());
  for (int i = 0; i < 100; ++i)
    history.put({{false, named("n", static_cast<std::uint64_t>(i)), std::string(40, 'x'), neverExpires}});
  for (int i = 0; i < 100; ++i)
    history.put({{true, named("n", static_cast<std::uint64_t>(i)), {}, neverExpires}});
  history.compactAll();
  history.compactAll();
  EXPECT_LT(platter.used(), 1000u);
  EXPECT_EQ(history.book().stats().indexBytes, 0u) << "nothing on disk could bring them back";
}

// A real folder, and what only a real process can show.
class StoreOnDisk : public testing::Test {
 protected:
  StoreOnDisk() {
    char name[] = "/tmp/rainhook-store-XXXXXX";
    folder_ = ::mkdtemp(name);
  }
  ~StoreOnDisk() override { std::filesystem::remove_all(folder_); }
  std::unique_ptr<Store> store(const StoreSettings& bounds = {}) {
    return std::make_unique<Store>(
        std::make_unique<PosixDisk>(folder_), bounds,
        [] { return std::chrono::floor<milliseconds>(std::chrono::system_clock::now()); },
        [](const std::string&) {});
  }
  std::string folder_;
};

TEST_F(StoreOnDisk, WhatIsPutIsSeenAtOnceAndHeardOnceDurable) {
  const auto s = store();
  ASSERT_TRUE(s->open(1).isOk());
  int heard = 0;
  for (int i = 0; i < 500; ++i) {
    const auto key = named("k", static_cast<std::uint64_t>(i % 50));
    ASSERT_TRUE(s->put(key, std::to_string(i), neverExpires, [&](const StoreStatus& o) {
                   heard += o.isOk();
                 }).isOk());
    ASSERT_EQ(s->get(key).value, std::to_string(i));
  }
  ASSERT_TRUE(s->erase("k7", {}).isOk());
  EXPECT_FALSE(s->get("k7").value);
  EXPECT_EQ(heard, 0) << "nobody is called before deliver";
  s->waitUntilIdle();
  EXPECT_EQ(heard, 500);
  std::optional<std::string> fetched;
  ASSERT_TRUE(s->fetch("k8", [&](const ReadResult& got) { fetched = got.value; }).isOk());
  s->waitUntilIdle();
  EXPECT_EQ(fetched, "458");
  EXPECT_LT(s->statistics().book.commits, 500u) << "writes that wait go together";
  s->close();
  EXPECT_EQ(s->put("late", "", neverExpires, {}).code, StoreErrorCode::closed);
  const auto again = store();
  ASSERT_TRUE(again->open(2).isOk());
  EXPECT_EQ(again->get("k8").value, "458");
  EXPECT_FALSE(again->get("k7").value);
}

TEST_F(StoreOnDisk, AFullQueueRefusesAtOnceAndTheEventTellsOfTheRest) {
  StoreSettings bounds;
  bounds.maxQueueBytes = 8 << 10, bounds.maxValueBytes = 1 << 10;
  const auto s = store(bounds);
  ASSERT_TRUE(s->open(1).isOk());
  std::uint64_t taken = 0, refused = 0, heard = 0;
  for (int i = 0; i < 2000; ++i) {
    const auto outcome = s->put(named("k", static_cast<std::uint64_t>(i)), std::string(500, 'x'),
                                neverExpires, [&](const StoreStatus& o) { heard += o.isOk(); });
    ++(outcome.isOk() ? taken : refused);
    if (!outcome.isOk()) {
      EXPECT_EQ(outcome.code, StoreErrorCode::queueFull);
    }
  }
  EXPECT_GT(refused, 0u);
  EXPECT_EQ(s->statistics().rejectedWrites, refused);
  EXPECT_LE(s->statistics().peakQueueBytes, bounds.maxQueueBytes);
  pollfd ready{s->eventFd(), POLLIN, 0};
  EXPECT_EQ(::poll(&ready, 1, 5000), 1);
  s->waitUntilIdle();
  EXPECT_EQ(heard, taken);
  EXPECT_EQ(s->put("", "x", neverExpires, {}).code, StoreErrorCode::invalidArgument);
  EXPECT_EQ(s->put("k", std::string(2000, 'x'), neverExpires, {}).code, StoreErrorCode::entryTooLarge);
}

TEST_F(StoreOnDisk, WhatIsNeverDeliveredHasABound) {
  StoreSettings bounds;
  bounds.maxQueueBytes = 16 << 10, bounds.maxValueBytes = 1 << 10;
  const auto s = store(bounds);
  ASSERT_TRUE(s->open(1).isOk());
  std::uint64_t taken = 0, heard = 0;
  StoreStatus last;
  const auto refused = [&](const auto& attempt) {
    for (int i = 0; i < 4000 && last.isOk(); ++i) {
      last = attempt();
      if (last.isOk())
        ++taken, std::this_thread::sleep_for(std::chrono::microseconds(200));  // the writer keeps up
    }
    return std::exchange(last, {}).code;
  };
  EXPECT_EQ(
      refused([&] { return s->put("key", "value", neverExpires, [&](const StoreStatus&) { ++heard; }); }),
      StoreErrorCode::queueFull);
  EXPECT_LE(taken, 64u);
  s->waitUntilIdle();
  EXPECT_EQ(heard, taken);
  EXPECT_EQ(refused([&] { return s->fetch("key", [&](const ReadResult&) { ++heard; }); }),
            StoreErrorCode::queueFull);
  EXPECT_LE(taken, 64u + 16u) << "a read may bring the longest value";
  s->waitUntilIdle();
  EXPECT_EQ(heard, taken);
}

TEST_F(StoreOnDisk, ASecondOneIsRefusedAndToldWhoHoldsIt) {
  const auto s = store();
  ASSERT_TRUE(s->open(1).isOk());
  const auto outcome = store()->open(2);
  EXPECT_EQ(outcome.code, StoreErrorCode::locked);
  EXPECT_NE(outcome.message.find(std::to_string(::getpid())), std::string::npos) << outcome.message;
}

TEST_F(StoreOnDisk, ASnapshotWhileWritesGoOnIsAStoreOfItsMoment) {
  const auto s = store();
  ASSERT_TRUE(s->open(1).isOk());
  for (int i = 0; i < 300; ++i)
    ASSERT_TRUE(s->put(named("k", static_cast<std::uint64_t>(i)), "before", neverExpires, {}).isOk());
  s->waitUntilIdle();
  const auto to = folder_ + "/copy";
  StoreStatus ended{StoreErrorCode::ioError, "not heard"};
  ASSERT_TRUE(s->snapshot(std::make_unique<PosixDisk>(to), [&](const StoreStatus& o) { ended = o; }).isOk());
  for (int i = 0; i < 300; ++i)
    ASSERT_TRUE(s->put(named("k", static_cast<std::uint64_t>(i)), "after", neverExpires, {}).isOk());
  s->waitUntilIdle();
  ASSERT_TRUE(ended.isOk()) << ended.message;
  PosixDisk disk(to);
  LogStructuredStore other(disk, StoreSettings{}, {});
  ASSERT_TRUE(other.open(9).isOk());
  EXPECT_EQ(other.id(), s->id());
  EXPECT_EQ(other.stats().entries, 300u);
}

// Readers on other threads while the writer commits and compacts; for the thread and address sanitizers too.
TEST_F(StoreOnDisk, ReadersSeeWholeValuesWhileSegmentsMove) {
  StoreSettings bounds;
  bounds.maxSegmentBytes = 64 << 10, bounds.maxValueBytes = 1 << 10, bounds.maxDiskBytes = 2 << 20,
  bounds.maxOpenFiles = 2;
  const auto s = store(bounds);
  ASSERT_TRUE(s->open(1).isOk());
  std::atomic<bool> stop = false;
  std::atomic<std::uint64_t> reads = 0, wrong = 0;
  std::thread reader([&] {
    for (std::uint32_t i = 0; !stop; ++i, ++reads) {
      const auto key = named("k", static_cast<std::uint64_t>(i % 100));
      const auto got = s->get(key);
      wrong += !got.status.isOk() || (got.value && got.value->substr(0, key.size()) != key);
    }
  });
  for (int i = 0; i < 20000; ++i) {
    const auto key = named("k", static_cast<std::uint64_t>(i % 100));
    while (!s->put(key, key + std::string(static_cast<std::size_t>(i % 300), 'y'), neverExpires, {}).isOk())
      s->waitUntilIdle();
  }
  s->waitUntilIdle();
  stop = true;
  reader.join();
  EXPECT_EQ(wrong, 0u);
  EXPECT_GT(reads, 100u);
  EXPECT_GT(s->statistics().book.compactions, 0u);
}

}  // namespace
}  // namespace rainhook::store
