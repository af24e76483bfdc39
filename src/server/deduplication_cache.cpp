#include "server/deduplication_cache.h"

#include <sodium/crypto_generichash.h>
#include <xxhash.h>

#include <algorithm>

namespace rainhook::server {
namespace {

bool isSharedRead(const DeduplicationCache::Key& key) { return key.resourceKey != ResourceKey{}; }

DeduplicationCache::Lookup rejected(peers::FailureReason reason) {
  return {.original = std::nullopt, .rejection = reason};
}

}  // namespace

std::optional<DeduplicationCache::Key> DeduplicationCache::keyOf(const peers::IncomingRequest& request,
                                                                 const std::vector<HandlerPolicy>& handlers) {
  const Idempotency idempotency = handlers[static_cast<std::size_t>(request.handler)].idempotency;
  if (idempotency == Idempotency::keyed && !request.idempotencyKey.empty())
    return Key{request.handler, digestOf(request.idempotencyKey), {}};
  if (idempotency == Idempotency::idempotent && request.resourceKey != ResourceKey{})
    return Key{request.handler, {}, request.resourceKey};
  return std::nullopt;
}

DeduplicationCache::KeyDigest DeduplicationCache::digestOf(std::string_view idempotencyKey) {
  KeyDigest digest{};
  crypto_generichash(digest.data(), digest.size(),
                     reinterpret_cast<const unsigned char*>(idempotencyKey.data()), idempotencyKey.size(),
                     nullptr, 0);
  return digest;
}

DeduplicationCache::PayloadFingerprint DeduplicationCache::fingerprintOf(
    const peers::IncomingRequest& request) {
  if (request.idempotencyKey.empty()) return {};
  const XXH128_hash_t hash = XXH3_128bits_withSeed(request.body.data(), request.body.size(),
                                                   static_cast<std::uint64_t>(request.tenant));
  return {hash.high64, hash.low64};
}

bool DeduplicationCache::isResultUsable(const CachedResult& entry, Time now) const {
  if (entry.state == OriginalState::pending) return true;
  return entry.state == OriginalState::completed && now - entry.endedAt <= limits_.sharingDuration;
}

DeduplicationCache::Lookup DeduplicationCache::findOriginalOrRegister(const Key& key,
                                                                      const PayloadFingerprint& fingerprint,
                                                                      const Arrival& arrival) {
  const auto it = entries_.find(key);
  if (it != entries_.end() && arrival.arrivedAt < it->second.retainedUntil) {
    const CachedResult& entry = it->second;
    if (entry.fingerprint != fingerprint) return rejected(peers::FailureReason::conflictingPayload);
    if (!isSharedRead(key) || isResultUsable(entry, arrival.readAt))
      return {.original = entry.original, .rejection = std::nullopt};
  }
  const bool isNewKey = it == entries_.end() && !registeredInIteration_.contains(key);
  if (isNewKey && isFull()) return isSharedRead(key) ? Lookup{} : rejected(peers::FailureReason::tooManyKeys);
  const auto [registered, isNew] =
      registeredInIteration_.try_emplace(key, RegisteredRequest{arrival.id, fingerprint});
  if (isNew) return {};
  if (registered->second.fingerprint != fingerprint)
    return rejected(peers::FailureReason::conflictingPayload);
  return {.original = registered->second.id, .rejection = std::nullopt};
}

void DeduplicationCache::retain(const Key& key, const PayloadFingerprint& fingerprint, RequestId id,
                                Time until) {
  if (isSharedRead(key) && !entries_.contains(key) && entries_.size() >= limits_.maxKeys) return;
  Time earlierRetainedUntil{};
  if (const auto it = entries_.find(key); it != entries_.end()) {
    CachedResult& entry = it->second;
    removeFromExpiryQueue(entry);
    if (entry.original == id) {
      entry.retainedUntil = until;
      expiryQueue_.emplace(until, id);
      return;
    }
    keysById_.erase(entry.original);
    clearResult(entry);
    earlierRetainedUntil = std::max(entry.retainedUntil, entry.earlierRetainedUntil);
  }
  CachedResult entry;
  entry.original = id;
  entry.fingerprint = fingerprint;
  entry.retainedUntil = until;
  entry.earlierRetainedUntil = earlierRetainedUntil;
  entries_.insert_or_assign(key, std::move(entry));
  keysById_.insert_or_assign(id, key);
  expiryQueue_.emplace(until, id);
}

void DeduplicationCache::drop(RequestId id) {
  const auto it = keysById_.find(id);
  if (it == keysById_.end()) return;
  CachedResult& entry = entries_.at(it->second);
  clearResult(entry);
  removeFromExpiryQueue(entry);
  // This request was never executed, but an earlier one with the same key may have been. A duplicate of the
  // earlier one that is read late must not be executed.
  if (entry.earlierRetainedUntil > Time{}) {
    entry.retainedUntil = std::exchange(entry.earlierRetainedUntil, Time{});
    entry.state = OriginalState::failed;
    expiryQueue_.emplace(entry.retainedUntil + limits_.maxReadDelay, id);
    return;
  }
  entries_.erase(it->second);
  keysById_.erase(it);
}

// An entry is queued for the end of its retention or, after that, for the removal of its key.
void DeduplicationCache::removeFromExpiryQueue(const CachedResult& entry) {
  expiryQueue_.erase({entry.retainedUntil, entry.original});
  expiryQueue_.erase({entry.retainedUntil + limits_.maxReadDelay, entry.original});
}

void DeduplicationCache::clearResult(CachedResult& entry) {
  resultBytes_ -= entry.result.size();
  entry.result.clear();
}

void DeduplicationCache::onOriginalEnded(RequestId id, OriginalState state, Time at,
                                         const std::string& result) {
  const auto it = keysById_.find(id);
  if (it == keysById_.end()) return;
  CachedResult& entry = entries_.at(it->second);
  clearResult(entry);
  entry.state = state;
  entry.endedAt = at;
  const bool isTooLate = at >= entry.retainedUntil;
  const bool isTooLarge = resultBytes_ + result.size() > limits_.maxResultBytes;
  if (isTooLate || isTooLarge) {
    entry.state = OriginalState::failed;
    return;
  }
  entry.result = result;
  resultBytes_ += result.size();
}

void DeduplicationCache::expire(Time now) {
  while (!expiryQueue_.empty() && expiryQueue_.begin()->first <= now) {
    const RequestId id = expiryQueue_.begin()->second;
    expiryQueue_.erase(expiryQueue_.begin());
    ++entriesScanned_;
    expireEntry(id, now);
  }
}

// Called first when the retention ends, which removes the result, and again `maxReadDelay` later, which
// removes the key.
void DeduplicationCache::expireEntry(RequestId id, Time now) {
  CachedResult& entry = entries_.at(keysById_.at(id));
  if (entry.state == OriginalState::completed) {
    entry.state = OriginalState::failed;
    clearResult(entry);
  }
  const Time keyExpiresAt = entry.retainedUntil + limits_.maxReadDelay;
  if (keyExpiresAt > now) {
    expiryQueue_.emplace(keyExpiresAt, id);
    return;
  }
  entry.earlierRetainedUntil = {};  // otherwise drop() would keep the key for the earlier request
  drop(id);
}

const DeduplicationCache::CachedResult* DeduplicationCache::find(RequestId id) const {
  const auto it = keysById_.find(id);
  return it == keysById_.end() ? nullptr : &entries_.at(it->second);
}

}  // namespace rainhook::server
