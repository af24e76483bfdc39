/// @file
/// Results retained for the deduplication of requests. The cache decides nothing: the admission policy says
/// what is retained and for how long.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "decision/decision.h"
#include "peers/request_listener.h"

namespace rainhook::server {

/// Maps the key of a retained request (idempotency key, or resource of a shared read) to the request that was
/// executed for it, the original, and to its result.
///
/// Bounds: results take no more than `Limits::maxResultBytes`. The number of entries is bounded by the
/// policy, which accounts for the memory of each retained key and asks for a `drop`. What was read in this
/// event loop iteration is bounded by the requests in flight.
///
/// Removal: `drop` and `expire` remove entries. A result goes when its retention ends; its key goes
/// `Limits::maxReadDelay` later, since a duplicate that arrived in time may be read late.
///
/// Used from the event loop's thread only.
class DeduplicationCache {
 public:
  /// Keyed requests are identified by their idempotency key, shared reads by their resource.
  struct Key {
    HandlerId handler{};         ///< Keys of different handlers never match.
    std::string idempotencyKey;  ///< Empty for shared reads.
    ResourceKey resourceKey{};   ///< Zero for keyed requests.
    /// Compares member by member.
    // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14 on defaulted comparisons
    auto operator<=>(const Key&) const = default;
  };

  /// How far the original is.
  enum class OriginalState {
    pending,    ///< Queued or executing.
    completed,  ///< Ended with a result, which is still cached.
    failed      ///< Ended without a result, or its result is no longer cached.
  };

  /// A 128-bit hash (XXH3) over what all attempts of one request have in common: tenant and body. Zero for
  /// shared reads, which are identified by their resource alone.
  struct PayloadFingerprint {
    std::uint64_t high = 0;  ///< Upper half of the hash.
    std::uint64_t low = 0;   ///< Lower half of the hash.
    /// Compares member by member.
    bool operator==(const PayloadFingerprint&) const = default;
  };

  /// Times are those of the protocol, on the Unix clock, so that client and server agree on the ends of a
  /// deduplication window.
  using Time = std::chrono::system_clock::time_point;

  /// What the cache may hold, fixed at its construction.
  struct Limits {
    std::size_t maxResultBytes = 0;  ///< A duplicate of a request whose result had no room is failed.
    Duration maxReadDelay{};         ///< How long after its arrival a duplicate may be read.
    Duration sharingDuration{};      ///< How long after its end the result of a read may serve other reads.
  };

  /// One arrival of a request.
  struct Arrival {
    RequestId id{};    ///< The request that arrived.
    Time arrivedAt{};  ///< When it reached the machine.
    Time readAt{};     ///< When it was read.
  };

  /// What is known about the key of an arrival.
  struct Lookup {
    std::optional<RequestId> original;   ///< The request that this one duplicates.
    bool hasConflictingPayload = false;  ///< The key is in use for a request with another payload.
  };

  /// A retained request and, once it has completed, its result.
  struct CachedResult {
    RequestId original{};                          ///< The request that was executed, or is to be.
    PayloadFingerprint fingerprint;                ///< What its duplicates must match.
    Time retainedUntil{};                          ///< End of the retention of its result.
    Time endedAt{};                                ///< When its execution ended.
    OriginalState state = OriginalState::pending;  ///< How far the original is.
    std::string result;                            ///< Empty unless the original has completed.
    /// End of the retention of an earlier request with this key, which may have been executed: what arrived
    /// before it is still a duplicate.
    Time earlierRetainedUntil{};
  };

  /// Creates an empty cache.
  explicit DeduplicationCache(const Limits& limits) : limits_(limits) {}

  /// The key under which a request is deduplicated; none where its handler does not deduplicate it.
  static std::optional<Key> keyOf(const peers::IncomingRequest& request,
                                  const std::vector<HandlerPolicy>& handlers);
  /// The fingerprint of tenant and body; zero where there is no idempotency key.
  static PayloadFingerprint fingerprintOf(const peers::IncomingRequest& request);

  /// Finds the original of an arrival: one that is retained, or one read earlier in the same iteration. Where
  /// there is none, the arrival is registered as the original for the rest of the iteration. A read
  /// duplicates only what is pending or completed no longer than the sharing duration ago.
  [[nodiscard]] Lookup findOriginalOrRegister(const Key& key, const PayloadFingerprint& fingerprint,
                                              const Arrival& arrival);

  /// Forgets what was registered in this iteration.
  void onIterationEnd() { registeredInIteration_.clear(); }

  /// Retains the request under its key; one that is retained already gets a new end.
  void retain(const Key& key, const PayloadFingerprint& fingerprint, RequestId id, Time until);

  /// Removes the request, which has had no effect: its key is free, unless an earlier request with this key
  /// may have been executed.
  void drop(RequestId id);

  /// Takes the result of a retained request; ignored for others.
  void onOriginalEnded(RequestId id, OriginalState state, Time at, const std::string& result);

  /// Removes results and keys whose time has passed.
  void expire(Time now);

  /// The entry of a retained request, valid until the next change; null where it is not retained.
  const CachedResult* find(RequestId id) const;
  /// Number of entries.
  std::size_t size() const { return entries_.size(); }
  /// How many entries `expire` has visited so far.
  std::uint64_t entriesScanned() const { return entriesScanned_; }

 private:
  struct RegisteredRequest {
    RequestId id{};
    PayloadFingerprint fingerprint;
  };

  void dropResult(CachedResult& entry);
  void removeFromExpiryQueue(const CachedResult& entry);
  void expireEntry(RequestId id, Time now);
  bool isResultUsable(const CachedResult& entry, Time now) const;

  Limits limits_;
  std::size_t resultBytes_ = 0;
  std::map<Key, CachedResult> entries_;
  std::map<RequestId, Key> keysById_;
  std::map<Key, RegisteredRequest> registeredInIteration_;
  std::set<std::pair<Time, RequestId>> expiryQueue_;  // when each entry is to be visited next
  std::uint64_t entriesScanned_ = 0;
};

}  // namespace rainhook::server
