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
constexpr std::size_t ampleKeys = 1 << 20;
constexpr DeduplicationCache::Time epoch{};

DeduplicationCache::Key keyNamed(const std::string& idempotencyKey) {
  return {HandlerId{1}, DeduplicationCache::digestOf(idempotencyKey), {}};
}

// Guards against results beyond the capacity of the cache, and against capacity that stays occupied after a
// removal.
TEST(DeduplicationCache, FailsRequestWhenItsResultExceedsCapacity) {
  DeduplicationCache cache(
      {.maxResultBytes = 10, .maxKeys = ampleKeys, .maxReadDelay = 10s, .sharingDuration = 0s});
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

// Guards against entries that remain after their expiry, and against scans of entries that have not expired.
TEST(DeduplicationCache, ScansEntryOnlyWhenItExpires) {
  DeduplicationCache cache(
      {.maxResultBytes = ampleBytes, .maxKeys = ampleKeys, .maxReadDelay = 10s, .sharingDuration = 0s});
  std::size_t maxSize = 0;
  for (std::uint32_t i = 1; i <= 5000; ++i) {
    const auto now = epoch + 10ms * i;
    cache.expire(now);
    cache.retain(keyNamed(std::to_string(i)), {}, RequestId{i}, now + 1s);
    if (i % 3 == 0) cache.drop(RequestId{i});
    if (i % 3 == 1) cache.onOriginalEnded(RequestId{i}, OriginalState::completed, now, "result");
    maxSize = std::max(maxSize, cache.size());
  }
  // Two thirds of the entries of 11 s: 1 s of retention and 10 s during which a duplicate may be read late.
  EXPECT_LE(maxSize, 2 * 1100u / 3 + 1);
  // The retention of this entry has ended, but its key is still in the cache.
  EXPECT_EQ(cache.find(RequestId{4801})->state, OriginalState::failed);
  EXPECT_EQ(cache.find(RequestId{4999})->result, "result");
  EXPECT_LE(cache.entriesScanned(), 2 * 5000u);

  cache.expire(epoch + 1h);
  EXPECT_EQ(cache.size(), 0u);
  EXPECT_LE(cache.entriesScanned(), 2 * 5000u);
}

TEST(DeduplicationCache, DropsResultWhenItArrivesAfterItsRetention) {
  DeduplicationCache cache(
      {.maxResultBytes = ampleBytes, .maxKeys = ampleKeys, .maxReadDelay = 10s, .sharingDuration = 0s});
  cache.retain(keyNamed("a"), {}, RequestId{1}, epoch + 1s);
  cache.expire(epoch + 2s);
  cache.onOriginalEnded(RequestId{1}, OriginalState::completed, epoch + 3s, "late");
  EXPECT_EQ(cache.find(RequestId{1})->result, "");
}

// Guards against the execution of a late duplicate of a request that was executed, after a newer request with
// the same key was retained and then dropped without an execution.
TEST(DeduplicationCache, FindsOlderOriginalWhenNewerOneWasDropped) {
  DeduplicationCache cache(
      {.maxResultBytes = ampleBytes, .maxKeys = ampleKeys, .maxReadDelay = 10s, .sharingDuration = 0s});
  const DeduplicationCache::Time start{1h};
  const auto key = keyNamed("k");
  cache.retain(key, {}, RequestId{1}, start + 1s);
  cache.onOriginalEnded(RequestId{1}, OriginalState::completed, start, "result");
  cache.expire(start + 2s);
  EXPECT_FALSE(cache.findOriginalOrRegister(key, {}, {RequestId{2}, start + 2s, start + 2s}).original);
  cache.onIterationEnd();

  cache.retain(key, {}, RequestId{2}, start + 3s);
  cache.drop(RequestId{2});
  // Request 3 arrived within the window of the first request and is read late; request 4 arrived after the
  // window.
  EXPECT_TRUE(cache.findOriginalOrRegister(key, {}, {RequestId{3}, start + 900ms, start + 2s}).original);
  EXPECT_FALSE(cache.findOriginalOrRegister(key, {}, {RequestId{4}, start + 1s, start + 2s}).original);

  cache.expire(start + 1h);
  EXPECT_EQ(cache.size(), 0u);
}

// Guards against a cache that grows with every new key: a full cache rejects new keys, still recognizes the
// keys that it has, and accepts new ones once keys have expired.
TEST(DeduplicationCache, RejectsNewKeysOnlyWhileFull) {
  DeduplicationCache cache(
      {.maxResultBytes = ampleBytes, .maxKeys = 2, .maxReadDelay = 10s, .sharingDuration = 0s});
  const auto arrive = [&](const std::string& key, RequestId id, DeduplicationCache::Time at) {
    return cache.findOriginalOrRegister(keyNamed(key), {}, {.id = id, .arrivedAt = at, .readAt = at});
  };
  EXPECT_FALSE(arrive("a", RequestId{1}, epoch).rejection);
  cache.retain(keyNamed("a"), {}, RequestId{1}, epoch + 5s);
  cache.onIterationEnd();
  EXPECT_FALSE(arrive("b", RequestId{2}, epoch).rejection);
  EXPECT_EQ(arrive("c", RequestId{3}, epoch).rejection, peers::FailureReason::tooManyKeys);
  EXPECT_EQ(arrive("a", RequestId{4}, epoch).original, RequestId{1});
  EXPECT_EQ(arrive("b", RequestId{5}, epoch).original, RequestId{2});
  cache.retain(keyNamed("b"), {}, RequestId{2}, epoch + 5s);
  cache.onIterationEnd();
  EXPECT_EQ(arrive("c", RequestId{6}, epoch + 5s).rejection, peers::FailureReason::tooManyKeys);

  cache.expire(epoch + 16s);
  EXPECT_FALSE(arrive("c", RequestId{7}, epoch + 16s).rejection);
}

// Guards against reads that are rejected or retained without limit because the cache is full: reads may be
// executed again, so they need no entry.
TEST(DeduplicationCache, NeitherRejectsNorRetainsSharedReadWhenFull) {
  DeduplicationCache cache(
      {.maxResultBytes = ampleBytes, .maxKeys = 1, .maxReadDelay = 10s, .sharingDuration = 0s});
  cache.retain(keyNamed("a"), {}, RequestId{1}, epoch + 5s);
  const DeduplicationCache::Key read{HandlerId{0}, {}, ResourceKey{7}};
  const auto lookup =
      cache.findOriginalOrRegister(read, {}, {.id = RequestId{2}, .arrivedAt = epoch, .readAt = epoch});
  EXPECT_FALSE(lookup.rejection);
  EXPECT_FALSE(lookup.original);
  cache.retain(read, {}, RequestId{2}, epoch + 5s);
  EXPECT_EQ(cache.size(), 1u);
}

}  // namespace
}  // namespace rainhook::server
