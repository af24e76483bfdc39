/// @file
/// Cache of results for the deduplication of requests. The cache makes no decisions: the admission policy
/// determines which results are retained and for how long.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "decision/decision.h"
#include "peers/request_listener.h"

namespace rainhook::server {

/// Maps the key of a retained request to the original, which is the request that is executed for this key,
/// and to the result of the original. Requests to a keyed handler are deduplicated by their idempotency key.
/// A shared read, which is a request to an idempotent handler that names a resource, is deduplicated by that
/// resource.
///
/// Bounds: the results occupy at most `Limits::maxResultBytes`. The cache contains at most `Limits::maxKeys`
/// entries, apart from the keyed requests that are in flight when it becomes full, and the size of an entry
/// without its result does not depend on the length of the idempotency key. The number of requests in flight
/// bounds the requests that are registered during one event-loop iteration.
///
/// Removal: `drop` and `expire` remove entries. A result is removed when its retention ends; its key is
/// removed `Limits::maxReadDelay` later, because a duplicate that arrived in time may be read late.
///
/// Must be used on the event-loop thread only.
class DeduplicationCache {
 public:
  /// A digest of an idempotency key (BLAKE2b, 128 bits), which clients cannot make collide.
  using KeyDigest = std::array<unsigned char, 16>;

  /// Identifies a keyed request by its handler and idempotency key, and a shared read by its handler and
  /// resource.
  struct Key {
    HandlerId handler{};         ///< The handler; keys of different handlers never match.
    KeyDigest idempotencyKey{};  ///< The digest of the idempotency key; zero for shared reads.
    ResourceKey resourceKey{};   ///< The resource that is read; zero for keyed requests.
    /// Compares member by member.
    // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14 on defaulted comparisons
    auto operator<=>(const Key&) const = default;
  };

  /// The state of an original.
  enum class OriginalState {
    pending,    ///< The original is queued or executing.
    completed,  ///< The original ended with a result, which is still cached.
    failed      ///< The original ended without a result, or its result is no longer cached.
  };

  /// A 128-bit hash (XXH3) of the parts that all attempts of one request have in common: tenant and body.
  /// Zero for shared reads, which are identified by their resource alone.
  struct PayloadFingerprint {
    std::uint64_t high = 0;  ///< Upper half of the hash.
    std::uint64_t low = 0;   ///< Lower half of the hash.
    /// Compares member by member.
    bool operator==(const PayloadFingerprint&) const = default;
  };

  /// The Unix clock, which the protocol also uses, so that client and server agree on the end of a
  /// deduplication window.
  using Time = std::chrono::system_clock::time_point;

  /// The limits of the cache, fixed at its construction.
  struct Limits {
    std::size_t maxResultBytes = 0;  ///< Bytes of all results; a result that exceeds them is not cached.
    std::size_t maxKeys = 0;         ///< Entries; with more, new keyed requests are rejected.
    Duration maxReadDelay{};         ///< The longest time from the arrival of a duplicate until it is read.
    Duration sharingDuration{};      ///< How long after its end the result of a read may serve other reads.
  };

  /// One arrival of a request.
  struct Arrival {
    RequestId id{};    ///< The request that arrived.
    Time arrivedAt{};  ///< The time at which its transmission to this server started.
    Time readAt{};     ///< The time at which the server read it.
  };

  /// The result of a lookup by the key of an arrival.
  struct Lookup {
    std::optional<RequestId> original;              ///< The request that the arrival duplicates, if any.
    std::optional<peers::FailureReason> rejection;  ///< Why the arrival must not be executed, if it must not.
  };

  /// A retained request and, once it has completed, its result.
  struct CachedResult {
    RequestId original{};                          ///< The request that was or will be executed.
    PayloadFingerprint fingerprint;                ///< The fingerprint that its duplicates must have.
    Time retainedUntil{};                          ///< The end of the retention of its result.
    Time endedAt{};                                ///< The time at which its execution ended.
    OriginalState state = OriginalState::pending;  ///< The state of the original.
    std::string result;                            ///< Empty unless the original has completed.
    /// The end of the retention of an earlier request with this key that may have been executed. A request
    /// that arrived before this time is still a duplicate.
    Time earlierRetainedUntil{};
  };

  /// Creates an empty cache.
  explicit DeduplicationCache(const Limits& limits) : limits_(limits) {}

  /// Returns the key under which a request is deduplicated, or none if its handler does not deduplicate it.
  static std::optional<Key> keyOf(const peers::IncomingRequest& request,
                                  const std::vector<HandlerPolicy>& handlers);
  /// Returns the digest of an idempotency key.
  static KeyDigest digestOf(std::string_view idempotencyKey);
  /// Returns the fingerprint of tenant and body, or zero if the request has no idempotency key.
  static PayloadFingerprint fingerprintOf(const peers::IncomingRequest& request);

  /// Finds the original of an arrival: a retained request, or a request that was read earlier in the same
  /// iteration. If there is none, registers the arrival as the original for the rest of the iteration. A
  /// shared read is a duplicate only of a read that is pending or that completed within the sharing duration.
  /// If the cache is full, a keyed request with a new key is rejected, and a shared read is not registered.
  [[nodiscard]] Lookup findOriginalOrRegister(const Key& key, const PayloadFingerprint& fingerprint,
                                              const Arrival& arrival);

  /// Removes the registrations of this iteration. Called when each registered request is retained or does not
  /// need to be.
  void onIterationEnd() { registeredInIteration_.clear(); }

  /// Retains the request under its key until the given time. If it is retained already, changes that time. A
  /// shared read is not retained if the cache is full.
  void retain(const Key& key, const PayloadFingerprint& fingerprint, RequestId id, Time until);

  /// Removes a request that was never executed. Its key becomes free unless an earlier request with this key
  /// may have been executed.
  void drop(RequestId id);

  /// Records the end of a retained request and its result. Does nothing for other requests.
  void onOriginalEnded(RequestId id, OriginalState state, Time at, const std::string& result);

  /// Removes expired results and keys.
  void expire(Time now);

  /// Returns the entry of a retained request, or null if it is not retained. The pointer is valid until the
  /// next modification of the cache.
  const CachedResult* find(RequestId id) const;
  /// Returns the number of entries.
  std::size_t size() const { return entries_.size(); }
  /// Returns how many entries `expire` has visited so far.
  std::uint64_t entriesScanned() const { return entriesScanned_; }

 private:
  struct RegisteredRequest {
    RequestId id{};
    PayloadFingerprint fingerprint;
  };

  void clearResult(CachedResult& entry);
  void removeFromExpiryQueue(const CachedResult& entry);
  void expireEntry(RequestId id, Time now);
  bool isResultUsable(const CachedResult& entry, Time now) const;
  bool isFull() const { return entries_.size() + registeredInIteration_.size() >= limits_.maxKeys; }

  Limits limits_;
  std::size_t resultBytes_ = 0;
  std::map<Key, CachedResult> entries_;
  std::map<RequestId, Key> keysById_;
  std::map<Key, RegisteredRequest> registeredInIteration_;
  std::set<std::pair<Time, RequestId>> expiryQueue_;  // ordered by the next time to visit each entry
  std::uint64_t entriesScanned_ = 0;
};

}  // namespace rainhook::server
