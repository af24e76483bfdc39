#include "server/deduplication_cache.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <string>

namespace rainhook::server {
namespace {

using namespace std::chrono_literals;
using OriginalState = DeduplicationCache::OriginalState;

constexpr std::size_t ampleBytes = 1 << 20;
constexpr DeduplicationCache::Time epoch{};

DeduplicationCache::Key keyNamed(const std::string& idempotencyKey) {
  return {HandlerId{1}, idempotencyKey, {}};
}

TEST(DeduplicationCache, FailsResultThatExceedsItsCapacityUntilRoomIsFreed) {
  DeduplicationCache cache({.maxResultBytes = 10, .maxReadDelay = 10s, .sharingDuration = 0s});
  const std::string eightBytes = "eight by";
  cache.retain(keyNamed("a"), {}, RequestId{1}, epoch + 5s);
  cache.onOriginalEnded(RequestId{1}, OriginalState::completed, epoch, eightBytes);
  cache.retain(keyNamed("b"), {}, RequestId{2}, epoch + 5s);
  cache.onOriginalEnded(RequestId{2}, OriginalState::completed, epoch, eightBytes);
  EXPECT_EQ(cache.find(RequestId{1})->result, eightBytes);
  EXPECT_EQ(cache.find(RequestId{2})->state, OriginalState::failed);

  cache.drop(RequestId{1});
  cache.onOriginalEnded(RequestId{2}, OriginalState::completed, epoch, eightBytes);
  EXPECT_EQ(cache.find(RequestId{2})->result, eightBytes);
}

TEST(DeduplicationCache, ExpiresEachEntryByTimeAndScansItOnlyThen) {
  DeduplicationCache cache({.maxResultBytes = ampleBytes, .maxReadDelay = 10s, .sharingDuration = 0s});
  std::size_t maxSize = 0;
  for (std::uint32_t i = 1; i <= 5000; ++i) {
    const auto now = epoch + 10ms * i;
    cache.expire(now);
    cache.retain(keyNamed(std::to_string(i)), {}, RequestId{i}, now + 1s);
    if (i % 3 == 0) cache.drop(RequestId{i});
    if (i % 3 == 1) cache.onOriginalEnded(RequestId{i}, OriginalState::completed, now, "result");
    maxSize = std::max(maxSize, cache.size());
  }
  // Two in three of the entries of 11 s: 1 s of retention and 10 s in which a duplicate may be read late.
  EXPECT_LE(maxSize, 2 * 1100u / 3 + 1);
  // The retention of this one has ended, its key is still known.
  EXPECT_EQ(cache.find(RequestId{4801})->state, OriginalState::failed);
  EXPECT_EQ(cache.find(RequestId{4999})->result, "result");
  EXPECT_LE(cache.entriesScanned(), 2 * 5000u);

  cache.expire(epoch + 1h);
  EXPECT_EQ(cache.size(), 0u);
  EXPECT_LE(cache.entriesScanned(), 2 * 5000u);
}

TEST(DeduplicationCache, DropsResultThatArrivesAfterItsRetentionEnded) {
  DeduplicationCache cache({.maxResultBytes = ampleBytes, .maxReadDelay = 10s, .sharingDuration = 0s});
  cache.retain(keyNamed("a"), {}, RequestId{1}, epoch + 1s);
  cache.expire(epoch + 2s);
  cache.onOriginalEnded(RequestId{1}, OriginalState::completed, epoch + 3s, "late");
  EXPECT_EQ(cache.find(RequestId{1})->result, "");
}

// A newer attempt after the window that is never executed must not hide that an older one was.
TEST(DeduplicationCache, StillKnowsOlderOriginalAfterNewerOneIsDropped) {
  DeduplicationCache cache({.maxResultBytes = ampleBytes, .maxReadDelay = 10s, .sharingDuration = 0s});
  const DeduplicationCache::Time start{1h};
  const auto key = keyNamed("k");
  cache.retain(key, {}, RequestId{1}, start + 1s);
  cache.onOriginalEnded(RequestId{1}, OriginalState::completed, start, "result");
  cache.expire(start + 2s);
  EXPECT_FALSE(cache.findOriginalOrRegister(key, {}, {RequestId{2}, start + 2s, start + 2s}).original);
  cache.onIterationEnd();

  cache.retain(key, {}, RequestId{2}, start + 3s);
  cache.drop(RequestId{2});
  // Arrived within the window of the first, read late.
  EXPECT_TRUE(cache.findOriginalOrRegister(key, {}, {RequestId{3}, start + 900ms, start + 2s}).original);
  EXPECT_FALSE(cache.findOriginalOrRegister(key, {}, {RequestId{4}, start + 1s, start + 2s}).original);

  cache.expire(start + 1h);
  EXPECT_EQ(cache.size(), 0u);
}

}  // namespace
}  // namespace rainhook::server
