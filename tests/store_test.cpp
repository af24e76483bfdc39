/// @file
/// Tests of Store in a real folder: the writer thread, its bounded queue and its completions.
#include "store/store.h"

#include <gtest/gtest.h>
#include <poll.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <filesystem>
#include <thread>

#include "store/posix_disk.h"
#include "store_operation_history.h"

namespace rainhook::store {
namespace {

using std::chrono::milliseconds;

/// Creates stores in a temporary folder on the real file system.
class StoreTest : public testing::Test {
 protected:
  StoreTest() {
    char name[] = "/tmp/rainhook-store-XXXXXX";
    folder_ = ::mkdtemp(name);
  }
  ~StoreTest() override { std::filesystem::remove_all(folder_); }
  std::unique_ptr<Store> makeStore(const StoreSettings& settings = {}) {
    return std::make_unique<Store>(
        std::make_unique<PosixDisk>(folder_), settings,
        [] { return std::chrono::floor<milliseconds>(std::chrono::system_clock::now()); },
        [](const std::string&) {});
  }
  std::string folder_;
};

TEST_F(StoreTest, PutIsVisibleImmediatelyAndCompletesWhenDurable) {
  const auto store = makeStore();
  ASSERT_TRUE(store->open(1).isOk());
  int completed = 0;
  for (int i = 0; i < 500; ++i) {
    const auto key = numbered("k", static_cast<std::uint64_t>(i % 50));
    ASSERT_TRUE(store
                    ->put(key, std::to_string(i), neverExpires,
                          [&](const StoreStatus& status) { completed += status.isOk(); })
                    .isOk());
    ASSERT_EQ(store->get(key).value, std::to_string(i));
  }
  ASSERT_TRUE(store->erase("k7", {}).isOk());
  EXPECT_FALSE(store->get("k7").value);
  EXPECT_EQ(completed, 0) << "no callback may run before dispatchCompletions";
  store->waitUntilIdle();
  EXPECT_EQ(completed, 500);
  std::optional<std::string> fetched;
  ASSERT_TRUE(store->getAsync("k8", [&](const ReadResult& result) { fetched = result.value; }).isOk());
  store->waitUntilIdle();
  EXPECT_EQ(fetched, "458");
  EXPECT_LT(store->statistics().log.commits, 500u) << "waiting writes must share commits";
  store->close();
  EXPECT_EQ(store->put("late", "", neverExpires, {}).code, StoreErrorCode::closed);
  const auto reopened = makeStore();
  ASSERT_TRUE(reopened->open(2).isOk());
  EXPECT_EQ(reopened->get("k8").value, "458");
  EXPECT_FALSE(reopened->get("k7").value);
}

TEST_F(StoreTest, PutIsRejectedWhenTheQueueIsFullAndEventFdSignalsCompletions) {
  StoreSettings settings;
  settings.maxQueueBytes = 8 << 10, settings.maxValueBytes = 1 << 10;
  const auto store = makeStore(settings);
  ASSERT_TRUE(store->open(1).isOk());
  std::uint64_t accepted = 0, rejected = 0, completed = 0;
  for (int i = 0; i < 2000; ++i) {
    const auto outcome =
        store->put(numbered("k", static_cast<std::uint64_t>(i)), std::string(500, 'x'), neverExpires,
                   [&](const StoreStatus& status) { completed += status.isOk(); });
    ++(outcome.isOk() ? accepted : rejected);
    if (!outcome.isOk()) {
      EXPECT_EQ(outcome.code, StoreErrorCode::queueFull);
    }
  }
  EXPECT_GT(rejected, 0u);
  EXPECT_EQ(store->statistics().rejectedCalls, rejected);
  EXPECT_LE(store->statistics().peakQueueBytes, settings.maxQueueBytes);
  pollfd readable{store->eventFd(), POLLIN, 0};
  EXPECT_EQ(::poll(&readable, 1, 5000), 1);
  store->waitUntilIdle();
  EXPECT_EQ(completed, accepted);
  EXPECT_EQ(store->put("", "x", neverExpires, {}).code, StoreErrorCode::invalidArgument);
  EXPECT_EQ(store->put("k", std::string(2000, 'x'), neverExpires, {}).code, StoreErrorCode::entryTooLarge);
}

// Guards against an unbounded list of completions when the owner does not call dispatchCompletions.
TEST_F(StoreTest, CompletionsCountAgainstTheQueueWhenNotDispatched) {
  StoreSettings settings;
  settings.maxQueueBytes = 16 << 10, settings.maxValueBytes = 1 << 10;
  const auto store = makeStore(settings);
  ASSERT_TRUE(store->open(1).isOk());
  std::uint64_t accepted = 0, completed = 0;
  StoreStatus last;
  const auto repeatUntilRejected = [&](const auto& call) {
    for (int i = 0; i < 4000 && last.isOk(); ++i) {
      last = call();
      if (last.isOk())
        // The pause lets the writer thread complete the call.
        ++accepted, std::this_thread::sleep_for(std::chrono::microseconds(200));
    }
    return std::exchange(last, {}).code;
  };
  EXPECT_EQ(repeatUntilRejected([&] {
              return store->put("key", "value", neverExpires, [&](const StoreStatus&) { ++completed; });
            }),
            StoreErrorCode::queueFull);
  EXPECT_LE(accepted, 64u);
  store->waitUntilIdle();
  EXPECT_EQ(completed, accepted);
  EXPECT_EQ(
      repeatUntilRejected([&] { return store->getAsync("key", [&](const ReadResult&) { ++completed; }); }),
      StoreErrorCode::queueFull);
  EXPECT_LE(accepted, 64u + 16u) << "each read must reserve the longest value";
  store->waitUntilIdle();
  EXPECT_EQ(completed, accepted);
}

TEST_F(StoreTest, OpenFailsWithTheHoldersPidWhenTheFolderIsLocked) {
  const auto store = makeStore();
  ASSERT_TRUE(store->open(1).isOk());
  const auto outcome = makeStore()->open(2);
  EXPECT_EQ(outcome.code, StoreErrorCode::locked);
  EXPECT_NE(outcome.message.find(std::to_string(::getpid())), std::string::npos) << outcome.message;
}

TEST_F(StoreTest, SnapshotContainsAllEarlierEntriesWhenWritesContinue) {
  const auto store = makeStore();
  ASSERT_TRUE(store->open(1).isOk());
  for (int i = 0; i < 300; ++i)
    ASSERT_TRUE(store->put(numbered("k", static_cast<std::uint64_t>(i)), "before", neverExpires, {}).isOk());
  store->waitUntilIdle();
  const auto to = folder_ + "/copy";
  StoreStatus ended{StoreErrorCode::ioError, "not completed"};
  ASSERT_TRUE(
      store->snapshot(std::make_unique<PosixDisk>(to), [&](const StoreStatus& status) { ended = status; })
          .isOk());
  for (int i = 0; i < 300; ++i)
    ASSERT_TRUE(store->put(numbered("k", static_cast<std::uint64_t>(i)), "after", neverExpires, {}).isOk());
  store->waitUntilIdle();
  ASSERT_TRUE(ended.isOk()) << ended.message;
  PosixDisk disk(to);
  LogStructuredStore copy(disk, StoreSettings{}, {});
  ASSERT_TRUE(copy.open(9).isOk());
  EXPECT_EQ(copy.id(), store->id());
  EXPECT_EQ(copy.statistics().entries, 300u);
}

// Guards against torn or wrong values when other threads read while the writer thread commits and compacts.
// It also lets the thread and address sanitizers check these accesses.
TEST_F(StoreTest, ReadersSeeCompleteValuesDuringCompaction) {
  StoreSettings settings;
  settings.maxSegmentBytes = 64 << 10, settings.maxValueBytes = 1 << 10, settings.maxDiskBytes = 2 << 20,
  settings.maxOpenFiles = 2;
  const auto store = makeStore(settings);
  ASSERT_TRUE(store->open(1).isOk());
  std::atomic<bool> stop = false;
  std::atomic<std::uint64_t> reads = 0, wrong = 0;
  std::thread reader([&] {
    for (std::uint32_t i = 0; !stop; ++i, ++reads) {
      const auto key = numbered("k", static_cast<std::uint64_t>(i % 100));
      const auto result = store->get(key);
      wrong += !result.status.isOk() || (result.value && result.value->substr(0, key.size()) != key);
    }
  });
  for (int i = 0; i < 20000; ++i) {
    const auto key = numbered("k", static_cast<std::uint64_t>(i % 100));
    while (
        !store->put(key, key + std::string(static_cast<std::size_t>(i % 300), 'y'), neverExpires, {}).isOk())
      store->waitUntilIdle();
  }
  store->waitUntilIdle();
  stop = true;
  reader.join();
  EXPECT_EQ(wrong, 0u);
  EXPECT_GT(reads, 100u);
  EXPECT_GT(store->statistics().log.compactions, 0u);
}

}  // namespace
}  // namespace rainhook::store
