#include "server/request_table.h"

#include <xxhash.h>

namespace rainhook::server {

InFlightRequest& RequestTable::add(RequestId id, peers::IncomingRequest&& req) {
  names_.insert_or_assign(req.name, id);
  InFlightRequest& entry = inHand_[id];
  entry.req = std::move(req);
  return entry;
}

InFlightRequest* RequestTable::find(RequestId id) {
  const auto it = inHand_.find(id);
  return it == inHand_.end() ? nullptr : &it->second;
}

std::optional<RequestId> RequestTable::named(const std::string& name) const {
  const auto it = names_.find(name);
  return it == names_.end() ? std::nullopt : std::optional(it->second);
}

void RequestTable::drop(RequestId id) {
  const auto it = inHand_.find(id);
  if (it == inHand_.end()) return;
  names_.erase(it->second.req.name);
  waitNoMore(id, it->second);
  inHand_.erase(it);
}

void RequestTable::waitNoMore(RequestId id, InFlightRequest& req) {
  if (req.course != RequestState::waitingForFirst) return;
  if (req.repeats) waiting_.erase({*req.repeats, id});
  req.course = RequestState::held;
}

std::vector<RequestId> RequestTable::waitingFor(RequestId first) const {
  std::vector<RequestId> out;
  for (auto it = waiting_.lower_bound({first, RequestId{}}); it != waiting_.end() && it->first == first; ++it)
    out.push_back(it->second);
  return out;
}

std::optional<DeduplicationCache::Key> DeduplicationCache::keyOf(const peers::IncomingRequest& req,
                                                                 const std::vector<HandlerPolicy>& handlers) {
  const auto effect = handlers[static_cast<std::size_t>(req.handler)].idempotency;
  if (effect == Idempotency::keyed && !req.idempotencyKey.empty())
    return Key{req.handler, req.idempotencyKey, {}};
  if (effect == Idempotency::idempotent && req.resourceKey != ResourceKey{})
    return Key{req.handler, {}, req.resourceKey};
  return std::nullopt;
}

DeduplicationCache::Content DeduplicationCache::contentOf(const peers::IncomingRequest& req) {
  if (req.idempotencyKey.empty()) return {};
  const XXH128_hash_t hash =
      XXH3_128bits_withSeed(req.body.data(), req.body.size(), static_cast<std::uint64_t>(req.tenant));
  return {hash.high64, hash.low64};
}

DeduplicationCache::Known DeduplicationCache::firstOf(const Key& key, const Content& content, RequestId id,
                                                      Time arrived, Time now, Duration shareFor) {
  if (const auto it = kept_.find(key); it != kept_.end() && arrived < it->second.until) {
    const Kept& kept = it->second;
    if (kept.content != content) return {{}, true};
    const bool isRead = key.mark.empty();
    const bool over = kept.end != End::none && (kept.end != End::done || now - kept.endedAt > shareFor);
    if (!isRead || !over) return {kept.holder, false};
  }
  const auto [inTurn, isNew] = turn_.try_emplace(key, id, content);
  if (isNew) return {};
  if (inTurn->second.second != content) return {{}, true};
  return {inTurn->second.first, false};
}

void DeduplicationCache::keep(const Key& key, const Content& content, RequestId id, Time until) {
  Time earlier{};
  if (const auto it = kept_.find(key); it != kept_.end()) {
    if (it->second.holder == id) {
      unplan(it->second);
      it->second.until = until;
      ends_.emplace(until, id);
      return;
    }
    unplan(it->second);
    keys_.erase(it->second.holder);
    dropResult(it->second);
    earlier = std::max(it->second.until, it->second.earlierUntil);
  }
  kept_.insert_or_assign(key, Kept{id, content, until, {}, End::none, {}, earlier});
  keys_.insert_or_assign(id, key);
  ends_.emplace(until, id);
}

void DeduplicationCache::forget(RequestId id) {
  const auto it = keys_.find(id);
  if (it == keys_.end()) return;
  Kept& kept = kept_.at(it->second);
  dropResult(kept);
  unplan(kept);
  // This one never ran, an earlier one may have: tries of that time, read late, are not to run.
  if (kept.earlierUntil > Time{}) {
    kept.until = std::exchange(kept.earlierUntil, Time{});
    kept.end = End::errored;
    ends_.emplace(kept.until + readLate_, id);
    return;
  }
  kept_.erase(it->second);
  keys_.erase(it);
}

void DeduplicationCache::unplan(const Kept& kept) {
  ends_.erase({kept.until, kept.holder});
  ends_.erase({kept.until + readLate_, kept.holder});
}

void DeduplicationCache::dropResult(Kept& kept) {
  results_ -= kept.result.size();
  kept.result.clear();
}

void DeduplicationCache::ended(RequestId id, End end, Time at, const std::string& result) {
  const auto it = keys_.find(id);
  if (it == keys_.end()) return;
  Kept& kept = kept_.at(it->second);
  dropResult(kept);
  kept.end = end, kept.endedAt = at;
  if (at >= kept.until || results_ + result.size() > mostResults_) {
    kept.end = End::errored;
    return;
  }
  kept.result = result;
  results_ += result.size();
}

void DeduplicationCache::expire(Time now) {
  while (!ends_.empty() && ends_.begin()->first <= now) {
    const RequestId id = ends_.begin()->second;
    ends_.erase(ends_.begin());
    ++looks_;
    Kept& kept = kept_.at(keys_.at(id));
    if (kept.end == End::done) kept.end = End::errored, dropResult(kept);
    if (kept.until + readLate_ > now) {
      ends_.emplace(kept.until + readLate_, id);
    } else {
      kept.earlierUntil = {};
      forget(id);
    }
  }
}

const DeduplicationCache::Kept* DeduplicationCache::find(RequestId id) const {
  const auto it = keys_.find(id);
  return it == keys_.end() ? nullptr : &kept_.at(it->second);
}

}  // namespace rainhook::server
